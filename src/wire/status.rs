//! Status of a router.

wire! {
    /// A backend server as one router sees it.
    pub struct WireEngine {
        /// Its name.
        pub name: String,
        /// Its pool.
        pub pool: String,
        /// Whether it accepts no new work.
        pub leaving: bool,
        /// Estimated load in tokens.
        pub load: f64,
        /// Current upper limit of the load of a server in its pool, in tokens.
        pub bound: f64,
    }

    /// A model version or adapter that engines are ordered to load.
    pub struct WireWantedItem {
        /// Name by which requests ask for it.
        pub name: String,
        /// Pool of the engines.
        pub pool: String,
        /// Number of engines that should have it loaded.
        pub wanted: usize,
        /// Names of the live engines that have it loaded, as far as this router knows.
        pub held: Vec<String>,
    }

    /// Number of requests of one kind with one verdict.
    pub struct WireRequestCount {
        /// Kind of request.
        pub kind: String,
        /// Verdict of the response.
        pub verdict: String,
        /// Number since the start.
        pub count: u64,
    }

    /// Status of one router.
    pub struct WireStatus {
        /// Its name.
        pub instance: String,
        /// Its failure domain.
        pub domain: String,
        /// Whether it has a state in force.
        pub ready: bool,
        /// Whether it accepts no new callers.
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
        /// Prompt tokens served from prefix caches since the start.
        pub cached_tokens: u64,
        /// Requests that their first-ranked server could not take.
        pub spilled: u64,
        /// Control bytes sent and received since the start.
        pub control_bytes: u64,
        /// Limit on control bytes per second.
        #[serde(default)]
        pub control_budget: u64,
        /// Fingerprints of requests suspected of crashing backend servers.
        pub suspects: Vec<String>,
        /// Backend servers, ordered by pool and name.
        pub engines: Vec<WireEngine>,
        /// Models and adapters that engines are ordered to load.
        #[serde(default)]
        pub items: Vec<WireWantedItem>,
    }
}
