//! A customer; organisations share the backend servers.

plain! {
    /// An organisation; its keys are in the rule set.
    pub struct Organisation {
        /// Name, passed on to backend servers.
        pub name: String,
        /// Rank of its requests, 0 is the most urgent; overrides the rank of the route.
        pub priority: Option<u8>,
    }
}
