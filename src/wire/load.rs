//! Load reports of engines.

wire! {
    /// A model or adapter loaded on an engine.
    pub struct Loaded {
        /// Model name.
        pub model: String,
        /// Version of the model.
        #[serde(default)]
        pub version: String,
        /// Adapter on top of the model; empty for none.
        #[serde(default)]
        pub adapter: String,
    }

    /// Load report of an engine. Unknown fields of newer engines are ignored.
    #[derive(Default)]
    #[serde(default)]
    pub struct LoadReport {
        /// Differs after each start of the engine.
        pub incarnation: u64,
        /// Number of running requests.
        pub running: u64,
        /// Number of queued requests.
        pub queued: u64,
        /// Prompt and answer tokens still to be processed.
        pub tokens: u64,
        /// Number of requests that can run concurrently.
        pub slots: u64,
        /// Loaded models and adapters.
        pub loaded: Vec<Loaded>,
        /// Highest fencing number received.
        pub fencing: u64,
    }
}
