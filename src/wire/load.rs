//! Load reports of engines.

wire! {
    /// What an engine holds.
    pub struct Loaded {
        /// Model name.
        pub model: String,
        /// Version of the model.
        #[serde(default)]
        pub version: String,
        /// Adapter on top of it; empty for none.
        #[serde(default)]
        pub adapter: String,
    }

    /// Answer of an engine about its load; fields of newer engines pass.
    #[derive(Default)]
    #[serde(default)]
    pub struct LoadReport {
        /// Changes at each start of the engine.
        pub incarnation: u64,
        /// Requests running.
        pub running: u64,
        /// Requests waiting.
        pub queued: u64,
        /// Tokens still to read or write.
        pub tokens: u64,
        /// Requests that can run at once.
        pub slots: u64,
        /// What is loaded.
        pub loaded: Vec<Loaded>,
        /// Highest fencing number seen.
        pub fencing: u64,
    }
}
