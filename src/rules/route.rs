//! Where requests of one path prefix go, and what may be repeated.

use std::time::Duration;

use smallvec::SmallVec;

key! {
    /// Which requests may run more than once.
    pub enum RouteKind {
        /// May run any number of times.
        Idempotent,
        /// May run once for each request id.
        NonIdempotent,
        /// Answers with a stream of events; runs once unless it may be resumed.
        Streaming,
    }
}

plain! {
    /// One service of a split route.
    pub struct Target {
        /// Name of the service.
        pub service: String,
        /// Share of the requests, relative to the other targets.
        pub weight: u32,
    }

    /// A route. Invariant: `prefix` begins and ends with a slash.
    pub struct Route {
        /// Name for logs.
        pub name: String,
        /// Host that it belongs to.
        pub host: String,
        /// Beginning of the paths that it serves.
        pub prefix: String,
        /// What may be repeated.
        pub kind: RouteKind,
        /// A broken stream may go on at another backend server.
        pub resumable: bool,
        /// Longest time until the final answer.
        pub timeout: Duration,
        /// Time within which an answer has its full value.
        pub objective: Duration,
        /// Longest pause between two events of a stream that is still in time.
        pub max_pause: Duration,
        /// Most backend servers that one request is sent to.
        pub attempts: u32,
        /// Rank, 0 first.
        pub priority: u8,
        /// Needs no key.
        pub public: bool,
        /// Where requests go; never empty.
        pub targets: SmallVec<[Target; 2]>,
    }
}

impl Route {
    /// Whether a request that may have run can be sent again.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// The service for `point`, a hash spread evenly over all values.
    pub fn target(&self, point: u64) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|it| u64::from(it.weight)).sum();
        let mut left = point % total.max(1);
        for it in &self.targets {
            let weight = u64::from(it.weight);
            if left < weight {
                return Some(&it.service);
            }
            left -= weight;
        }
        None
    }
}
