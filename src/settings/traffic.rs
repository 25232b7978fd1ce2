//! Settings of how requests are forwarded.

use std::time::Duration;

use serde::Deserialize;

plain! {
    /// How requests are forwarded.
    #[derive(Deserialize)]
    #[serde(default, deny_unknown_fields)]
    pub struct Traffic {
        /// Number of threads that serve callers.
        pub threads: usize,
        /// Time limit for connecting to a backend server.
        #[serde(with = "humantime_serde")]
        pub connect: Duration,
        /// Deadline of a request when the caller sets none.
        #[serde(with = "humantime_serde")]
        pub deadline: Duration,
        /// Maximum silence of an engine within a stream.
        #[serde(with = "humantime_serde")]
        pub idle: Duration,
        /// Maximum number of attempts for one request.
        pub tries: usize,
        /// How long callers may cache a response with router addresses.
        #[serde(with = "humantime_serde")]
        pub entry_ttl: Duration,
        /// Maximum number of addresses in such a response.
        pub entry_addresses: usize,
        /// Time limit of a graceful shutdown; remaining connections are then closed.
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
