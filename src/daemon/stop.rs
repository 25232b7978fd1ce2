//! Stop signals of an instance, and the result of a shutdown.

key! {
    /// Stop signal of an instance.
    pub enum Stop {
        /// Keep serving.
        Run,
        /// Accept no new callers, finish the requests in flight, then end.
        Drain,
        /// End now and close open connections.
        Cut,
    }

    /// Result of a shutdown.
    pub struct Stopped {
        /// Number of connections closed before they were done.
        pub cut: usize,
    }
}
