//! Load reports of engines.

wire! {
    /// Reference to a model version, or to an adapter on top of it, in load reports and orders.
    pub struct ModelRef {
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
        pub loaded: Vec<ModelRef>,
        /// Highest fencing number received.
        pub fencing: u64,
    }
}
