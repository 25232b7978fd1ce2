//! A customer that shares the backend servers with others.

plain! {
    /// An organisation; its keys are in the rule set.
    pub struct Organisation {
        /// The name that backend servers are told.
        pub name: String,
        /// Rank of its requests, 0 first; goes before the rank of the route.
        pub priority: Option<u8>,
    }
}
