//! The size of a fleet.

plain! {
    /// The fleet size that the capacity table is computed for.
    pub struct Sizes {
        /// Number of routers.
        pub routers: f64,
        /// Backend servers that report their load.
        pub workers: f64,
        /// Requests per second across the fleet, at the peak.
        pub requests: f64,
        /// Tokens per second across the fleet, at the peak.
        pub tokens: f64,
        /// Time between two tokens of a stream, in seconds.
        pub token_gap: f64,
        /// Time until the first token of a stream, in seconds.
        pub first_token: f64,
        /// Chats that may send further requests.
        pub chats: f64,
        /// Number of organisations.
        pub organisations: f64,
        /// Number of models.
        pub models: f64,
        /// Tickets per day.
        pub tickets: f64,
        /// Days for which the log retains tickets.
        pub days: f64,
    }
}

impl Default for Sizes {
    /// The target size of docs/DESIGN.md.
    fn default() -> Sizes {
        Sizes {
            routers: 400.0,
            workers: 790.0,
            requests: 4_600.0,
            tokens: 1_300_000.0,
            token_gap: 0.039,
            first_token: 1.3,
            chats: 4_900_000.0,
            organisations: 2_300.0,
            models: 24.0,
            tickets: 1_700.0,
            days: 30.0,
        }
    }
}

impl Sizes {
    /// Objects in force.
    pub fn objects(&self) -> f64 {
        self.organisations + self.models
    }

    /// Streams open at the same time, by Little's law (Little 1961): those that wait for
    /// their first token and those that receive tokens.
    pub fn streams(&self) -> f64 {
        self.requests * self.first_token + self.tokens * self.token_gap
    }

    /// Number of instances on the list.
    pub fn instances(&self) -> f64 {
        self.routers + self.workers
    }
}
