//! Requests that crash backend servers.

use std::time::Duration;

use serde::Deserialize;

plain! {
    /// Requests that crash backend servers.
    #[derive(Deserialize)]
    #[serde(default, deny_unknown_fields)]
    pub struct Crashes {
        /// Backend servers that may be lost to one request.
        pub limit: usize,
        /// How long a loss counts.
        #[serde(with = "humantime_serde")]
        pub release: Duration,
    }
}

impl Default for Crashes {
    fn default() -> Crashes {
        Crashes { limit: 2, release: Duration::from_secs(600) }
    }
}
