//! Settings for requests that crash backend servers.

use std::time::Duration;

use serde::Deserialize;

plain! {
    /// Requests that crash backend servers.
    #[derive(Deserialize)]
    #[serde(default, deny_unknown_fields)]
    pub struct Crashes {
        /// Number of backend servers that one request may crash before it is rejected.
        pub limit: usize,
        /// How long a crash counts towards the limit.
        #[serde(with = "humantime_serde")]
        pub release: Duration,
    }
}

impl Default for Crashes {
    fn default() -> Crashes {
        Crashes { limit: 2, release: Duration::from_secs(600) }
    }
}
