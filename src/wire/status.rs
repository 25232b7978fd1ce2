//! What a router tells about itself.

wire! {
    /// A backend server as one router sees it.
    pub struct WireEngine {
        /// Its name.
        pub name: String,
        /// Its pool.
        pub pool: String,
        /// Whether it takes no new work.
        pub leaving: bool,
        /// Estimated load in tokens.
        pub load: f64,
        /// Largest load that its pool allows at present, in tokens.
        pub bound: f64,
    }

    /// A model version or adapter that engines are ordered to hold.
    pub struct WireItem {
        /// Name by which requests ask for it.
        pub name: String,
        /// Pool of the engines.
        pub pool: String,
        /// Engines that are to hold it.
        pub wanted: usize,
        /// Live engines that hold it, as this router knows.
        pub held: Vec<String>,
    }

    /// Requests by kind and verdict.
    pub struct WireRequestCount {
        /// Kind of call.
        pub kind: String,
        /// Verdict of the answer.
        pub verdict: String,
        /// How many since the start.
        pub count: u64,
    }

    /// One router.
    pub struct WireStatus {
        /// Its name.
        pub instance: String,
        /// Its failure domain.
        pub domain: String,
        /// Whether it has a state in force.
        pub ready: bool,
        /// Whether it takes no new callers.
        pub leaving: bool,
        /// Offset of the first record not yet folded.
        pub next: u64,
        /// Time since its start, in milliseconds.
        pub up_ms: u64,
        /// Requests in flight.
        pub in_flight: i64,
        /// Requests since the start.
        pub requests: Vec<WireRequestCount>,
        /// Prompt tokens since the start.
        pub prompt_tokens: u64,
        /// Prompt tokens found cached since the start.
        pub cached_tokens: u64,
        /// Requests that the first of the rank could not take.
        pub spilled: u64,
        /// Control bytes since the start, both ways.
        pub control_bytes: u64,
        /// Control bytes that it may spend a second.
        #[serde(default)]
        pub control_budget: u64,
        /// Fingerprints of requests under suspicion of crashing backend servers.
        pub suspects: Vec<String>,
        /// Backend servers.
        pub engines: Vec<WireEngine>,
        /// What engines are ordered to hold.
        #[serde(default)]
        pub items: Vec<WireItem>,
    }
}
