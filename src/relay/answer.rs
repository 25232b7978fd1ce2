//! Contents of the head of a backend server's answer.

plain! {
    /// Head of an answer, without its status.
    pub struct AnswerHead {
        /// Id of the request that it answers, where the server names it.
        pub request: Option<String>,
        /// It bears the server's signature.
        pub signed: bool,
        /// The server states that it did not run the request.
        pub not_run: bool,
        /// Its body has a content encoding, which no backend server uses.
        pub encoded: bool,
        /// Requests at the server, running and waiting.
        pub load: Option<u32>,
        /// How long the server keeps the idle connection open, in whole seconds.
        pub keep_alive: Option<u64>,
    }
}
