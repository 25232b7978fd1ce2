//! What each kind of object holds; also its form in tickets.

wire! {
    /// A model.
    #[serde(deny_unknown_fields)]
    pub struct ModelSpec {
        /// Pool of engines that run it.
        pub pool: String,
        /// Version in force; empty for whatever is loaded.
        #[serde(default)]
        pub version: String,
        /// Engines of the pool that hold each version; absent when nobody is to
        /// order them to load it. Invariant: above 0, and then `version` is given.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub copies: Option<usize>,
        /// Versions to hold beside the one in force.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub versions: Vec<String>,
    }

    /// An adapter.
    #[serde(deny_unknown_fields)]
    pub struct AdapterSpec {
        /// Model that it belongs to.
        pub model: String,
        /// Version in force; empty for whatever is loaded.
        #[serde(default)]
        pub version: String,
        /// Engines that hold it; absent when nobody is to order them to load it.
        /// Invariant: above 0, and then `version` is given.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub copies: Option<usize>,
        /// Versions to hold beside the one in force.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub versions: Vec<String>,
    }

    /// A plain service.
    #[serde(deny_unknown_fields)]
    pub struct ServiceSpec {
        /// Pool of instances that run it.
        pub pool: String,
        /// Whether it refuses by itself to run an operation key twice.
        #[serde(default)]
        pub checks_keys: bool,
        /// Paths whose calls may not be repeated, whatever their method.
        #[serde(default)]
        pub once: Vec<String>,
    }

    /// An organisation.
    #[serde(deny_unknown_fields)]
    pub struct OrganisationSpec {
        /// Requests a second over the whole fleet; absent for no limit.
        #[serde(default)]
        pub rate: Option<f64>,
        /// Share when there is not enough room, relative to others.
        #[serde(default = "default_weight")]
        pub weight: f64,
        /// Priority of its requests at engines; higher goes first.
        #[serde(default)]
        pub priority: u8,
    }

    /// An experiment.
    #[serde(deny_unknown_fields)]
    pub struct ExperimentSpec {
        /// Organisation whose chats take part; empty for all.
        #[serde(default)]
        pub organisation: String,
        /// Model that callers ask for.
        pub model: String,
        /// Share of chats, 0 to 1.
        pub share: f64,
        /// Model, version (`name@version`) or adapter that they get; empty keeps it.
        #[serde(default)]
        pub target: String,
        /// Routing policy that they get; empty keeps it.
        #[serde(default)]
        pub policy: String,
    }

    /// A request that is held to crash backend servers, named by its fingerprint.
    #[serde(deny_unknown_fields)]
    pub struct SuspectSpec {
        /// Whether the deaths until now are forgiven.
        pub lifted: bool,
    }

    /// Routing settings.
    #[serde(deny_unknown_fields)]
    pub struct PolicySpec {
        /// Largest load of an engine as a multiple of the mean.
        #[serde(default = "default_bound")]
        pub bound: f64,
    }
}

fn default_weight() -> f64 {
    1.0
}

fn default_bound() -> f64 {
    1.25
}

impl Default for PolicySpec {
    fn default() -> PolicySpec {
        PolicySpec { bound: default_bound() }
    }
}

impl Default for OrganisationSpec {
    fn default() -> OrganisationSpec {
        OrganisationSpec { rate: None, weight: default_weight(), priority: 0 }
    }
}
