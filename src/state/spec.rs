//! State of each kind of object, in the form that tickets have it.

wire! {
    /// A model.
    #[serde(deny_unknown_fields)]
    pub struct ModelSpec {
        /// Pool of engines that run it.
        pub pool: String,
        /// Version in force; empty for whatever is loaded.
        #[serde(default)]
        pub version: String,
        /// How many engines of the pool are to load each version; absent when no
        /// engine is to be ordered to. Invariant: if present, above 0 and `version`
        /// is not empty.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub copies: Option<usize>,
        /// Versions to load besides the one in force.
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
        /// How many engines are to load each version; absent when no engine is to be
        /// ordered to. Invariant: if present, above 0 and `version` is not empty.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub copies: Option<usize>,
        /// Versions to load besides the one in force.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub versions: Vec<String>,
    }

    /// A plain service.
    #[serde(deny_unknown_fields)]
    pub struct ServiceSpec {
        /// Pool of instances that run it.
        pub pool: String,
        /// Whether it refuses by itself to run the same idempotency key twice.
        #[serde(default)]
        pub checks_keys: bool,
        /// Paths whose calls run at most once, whatever their method.
        #[serde(default)]
        pub once: Vec<String>,
    }

    /// An organisation.
    #[serde(deny_unknown_fields)]
    pub struct OrganisationSpec {
        /// Requests a second over the whole fleet; absent for no limit.
        #[serde(default)]
        pub rate: Option<f64>,
        /// Share of the capacity when there is not enough for all, relative to the
        /// weights of others.
        #[serde(default = "default_weight")]
        pub weight: f64,
        /// Priority of its requests at engines; the higher one goes first.
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
        /// Model, version (`name@version`) or adapter that these chats get; empty for
        /// no change.
        #[serde(default)]
        pub target: String,
        /// Routing policy that these chats get; empty for no change.
        #[serde(default)]
        pub policy: String,
    }

    /// A request suspected of crashing backend servers, named by its fingerprint.
    #[serde(deny_unknown_fields)]
    pub struct SuspectSpec {
        /// Whether the crashes before this ticket no longer count.
        pub lifted: bool,
    }

    /// Routing settings.
    #[serde(deny_unknown_fields)]
    pub struct PolicySpec {
        /// Upper bound of an engine's load, as a multiple of the mean load.
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
