//! How an instance is told to stop, and how it went.

key! {
    /// What an instance is told.
    pub enum Stop {
        /// Serve on.
        Run,
        /// Take no new callers, finish everything, then end.
        Drain,
        /// End now.
        Cut,
    }

    /// How a shutdown went.
    pub struct Stopped {
        /// Connections that were cut.
        pub cut: usize,
    }
}
