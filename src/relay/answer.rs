//! What the head of a backend server's answer tells.

plain! {
    /// Head of an answer, without its status.
    pub struct AnswerHead {
        /// Request that it belongs to, where it says so.
        pub request: Option<String>,
        /// It bears the server's signature.
        pub signed: bool,
        /// The server says that it did not run the request.
        pub not_run: bool,
        /// Its body is encoded, which no server does.
        pub encoded: bool,
        /// Requests that the server holds, those that wait among them.
        pub load: Option<u32>,
        /// How long the server keeps the idle connection, in whole seconds.
        pub keep_alive: Option<u64>,
    }
}
