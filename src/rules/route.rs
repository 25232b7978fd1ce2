//! Routes: which services requests go to, and which requests may be retried.

use std::time::Duration;

use smallvec::SmallVec;

key! {
    /// Whether requests may run more than once.
    pub enum RouteKind {
        /// May run any number of times.
        Idempotent,
        /// May run at most once for each request id.
        NonIdempotent,
        /// Answered by a stream of events; runs once unless the stream may be resumed.
        Streaming,
    }
}

plain! {
    /// One of the services that a route splits its requests among.
    pub struct Target {
        /// Name of the service.
        pub service: String,
        /// Share of the requests, relative to the weights of the other targets.
        pub weight: u32,
    }

    /// A route. Invariant: `prefix` begins and ends with a slash.
    pub struct Route {
        /// Name in logs.
        pub name: String,
        /// Host that it belongs to.
        pub host: String,
        /// Prefix of the paths that it matches.
        pub prefix: String,
        /// Whether its requests may run more than once.
        pub kind: RouteKind,
        /// A broken stream may resume at another backend server.
        pub resumable: bool,
        /// Time within which the answer must be complete.
        pub timeout: Duration,
        /// Latency objective: an answer within this time has its full value.
        pub objective: Duration,
        /// Longest pause between two events of a stream that is within its objective.
        pub max_pause: Duration,
        /// Limit on the backend servers that one request is sent to.
        pub attempts: u32,
        /// Rank of its requests, 0 is the most urgent.
        pub priority: u8,
        /// Its requests need no key.
        pub public: bool,
        /// Services that requests go to; never empty.
        pub targets: SmallVec<[Target; 2]>,
    }
}

impl Route {
    /// Whether a request that may have run can be retried.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// The service for a request with `hash`, which must be evenly distributed.
    pub fn target(&self, hash: u64) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|it| u64::from(it.weight)).sum();
        let mut remaining = hash % total.max(1);
        for it in &self.targets {
            let weight = u64::from(it.weight);
            if remaining < weight {
                return Some(&it.service);
            }
            remaining -= weight;
        }
        None
    }
}
