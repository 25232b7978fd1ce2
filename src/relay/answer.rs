//! Contents of the head of a backend server's answer.

use std::time::Duration;

plain! {
    /// What an answer says of its server's limit of requests a second.
    #[derive(Copy)]
    pub enum StatedLimit {
        /// Nothing: the server has none.
        Absent,
        /// Nothing that ends a limit: refusals need not name it.
        Unstated,
        /// Requests a second that it takes from all routers together; finite, not negative.
        Named(f64),
        /// It cannot be read.
        Unreadable,
    }

    /// Whether an answer says that its server leaves.
    #[derive(Copy)]
    pub enum StatedLeaving {
        /// It does not say so.
        Absent,
        /// The server takes no new work.
        Leaving,
        /// It cannot be read.
        Unreadable,
    }

    /// Whether an answer says that its server is brittle: that it falls over if it has to turn many
    /// requests away.
    #[derive(Copy)]
    pub enum StatedBrittle {
        /// It does not say so.
        Absent,
        /// It bears so many in a second.
        Named(f64),
        /// It cannot be read.
        Unreadable,
    }

    /// For how long a server that turns a request away wants no others.
    #[derive(Copy)]
    pub enum StatedDelay {
        /// It names no time, or the answer turns nothing away.
        Absent,
        /// For so long.
        Named(Duration),
        /// It cannot be read.
        Unreadable,
    }

    /// How long work takes at a server at present, by its answer.
    #[derive(Copy)]
    pub enum StatedPace {
        /// It does not say so.
        Absent,
        /// In hundredths of the usual time.
        Named(f64),
        /// It cannot be read.
        Unreadable,
    }

    /// The load that a server reports with an answer. Invariant: `running + waiting` is a `u32`.
    #[derive(Copy)]
    pub struct StatedLoad {
        /// Requests that run.
        pub running: u32,
        /// Requests that wait.
        pub waiting: u32,
        /// How long work takes there at present.
        pub pace: StatedPace,
    }

    /// For how long an answer says that its server stays cold.
    #[derive(Copy)]
    pub enum StatedCold {
        /// It does not say so.
        Absent,
        /// For so long; a time that is shorter than what is known changes nothing.
        Named(Duration),
        /// It cannot be read.
        Unreadable,
    }

    /// What an answer says of the server that sent it.
    #[derive(Copy)]
    pub struct ServerStatements {
        /// The load of the server.
        pub load: Option<StatedLoad>,
        /// The limit that the server names.
        pub limit: StatedLimit,
        /// Whether the server leaves.
        pub leaving: StatedLeaving,
        /// Whether the server is brittle.
        pub brittle: StatedBrittle,
        /// For how long it wants no requests; counts with status 503 alone.
        pub delay: StatedDelay,
        /// For how long the server stays cold.
        pub cold: StatedCold,
    }

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
        /// What it says of the server itself.
        pub stated: ServerStatements,
        /// How long the server keeps the idle connection open, in whole seconds.
        pub keep_alive: Option<u64>,
    }
}

impl StatedLoad {
    /// Requests at the server, running and waiting.
    pub fn total(&self) -> u32 {
        self.running + self.waiting
    }
}

impl ServerStatements {
    /// The part of them that counts in a refusal.
    pub fn of_refusal(self) -> ServerStatements {
        let limit = match self.limit {
            StatedLimit::Absent => StatedLimit::Unstated,
            limit => limit,
        };
        ServerStatements { load: None, limit, ..self }
    }
}
