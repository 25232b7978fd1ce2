//! How requests are carried.

use std::time::Duration;

use serde::Deserialize;

plain! {
    /// How requests are carried.
    #[derive(Deserialize)]
    #[serde(default, deny_unknown_fields)]
    pub struct Traffic {
        /// Threads that carry requests.
        pub threads: usize,
        /// Time to connect to a backend server.
        #[serde(with = "humantime_serde")]
        pub connect: Duration,
        /// Time for a whole request when the caller sets none.
        #[serde(with = "humantime_serde")]
        pub deadline: Duration,
        /// Longest silence of an engine within a stream.
        #[serde(with = "humantime_serde")]
        pub idle: Duration,
        /// Tries of one request at most.
        pub tries: usize,
        /// How long callers keep an answer about addresses.
        #[serde(with = "humantime_serde")]
        pub entry_ttl: Duration,
        /// Addresses in one such answer at most.
        pub entry_addresses: usize,
        /// How long a graceful shutdown may take before it cuts what is left.
        #[serde(with = "humantime_serde")]
        pub drain: Duration,
    }
}

impl Default for Traffic {
    fn default() -> Traffic {
        Traffic {
            threads: 2,
            connect: Duration::from_secs(1),
            deadline: Duration::from_secs(60),
            idle: Duration::from_secs(20),
            tries: 3,
            entry_ttl: Duration::from_secs(10),
            entry_addresses: 3,
            drain: Duration::from_secs(60),
        }
    }
}
