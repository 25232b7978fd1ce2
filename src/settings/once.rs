//! Settings of at-most-once calls.

use std::time::Duration;

use bytesize::ByteSize;
use serde::Deserialize;

plain! {
    /// At-most-once calls: calls with an idempotency key.
    #[derive(Deserialize)]
    #[serde(default, deny_unknown_fields)]
    pub struct Once {
        /// How long an idempotency key is valid.
        #[serde(with = "humantime_serde")]
        pub key_age: Duration,
        /// How long the log retains claims. Invariant: at least twice `key_age`.
        #[serde(with = "humantime_serde")]
        pub retention: Duration,
        /// Minimum pause between two appends of claims.
        #[serde(with = "humantime_serde")]
        pub batch: Duration,
        /// Maximum appends of claims per second in the whole fleet.
        pub appends: u32,
        /// Maximum time to wait until the log shows which claim on a key came first.
        #[serde(with = "humantime_serde")]
        pub claim_wait: Duration,
        /// Maximum number of idempotency keys remembered.
        pub keys: usize,
        /// Maximum total size of answers stored for repeated calls.
        pub answers: ByteSize,
        /// Maximum size of a stored answer.
        pub answer: ByteSize,
    }
}

impl Default for Once {
    fn default() -> Once {
        Once {
            key_age: Duration::from_secs(600),
            retention: Duration::from_secs(1_800),
            batch: Duration::from_millis(10),
            appends: 100,
            claim_wait: Duration::from_secs(2),
            keys: 100_000,
            answers: ByteSize::mib(16),
            answer: ByteSize::kib(64),
        }
    }
}
