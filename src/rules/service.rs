//! A group of interchangeable backend servers.

plain! {
    /// The rules for one service.
    pub struct Service {
        /// Name, as in the records of its backend servers.
        pub name: String,
        /// Connections that one backend server accepts from all routers together.
        pub max_connections: Option<u32>,
        /// Path of the health check of its backend servers, if there is one.
        pub health: Option<String>,
        /// Present where the backend servers are model engines.
        pub engine: Option<EngineLimits>,
        /// Requests a second that a backend server takes from all routers together while it is
        /// cold; absent where cold servers take as many as others.
        pub cold_rate: Option<f64>,
    }

    /// Capacity of one model engine.
    pub struct EngineLimits {
        /// Requests that run at once.
        pub slots: u32,
        /// Tokens of running requests and cached prefixes together.
        pub tokens: u64,
    }
}
