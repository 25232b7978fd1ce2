//! Tokens of the requests in flight at a backend server.

plain! {
    /// Tokens that one request takes at a server.
    #[derive(Copy, Default)]
    pub struct RequestTokens {
        /// Tokens of the prompt that the server has yet to read.
        pub unread: u64,
        /// Tokens of memory that the request holds until it ends.
        pub held: u64,
    }
}
