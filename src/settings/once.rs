//! Calls that may not be repeated.

use std::time::Duration;

use bytesize::ByteSize;
use serde::Deserialize;

plain! {
    /// Calls that may not be repeated.
    #[derive(Deserialize)]
    #[serde(default, deny_unknown_fields)]
    pub struct Once {
        /// How long an operation key is good.
        #[serde(with = "humantime_serde")]
        pub key_age: Duration,
        /// How long the log keeps claims. Invariant: at least twice `key_age`.
        #[serde(with = "humantime_serde")]
        pub retention: Duration,
        /// Shortest pause between two appends of claims.
        #[serde(with = "humantime_serde")]
        pub batch: Duration,
        /// Appends of claims a second over the whole fleet.
        pub appends: u32,
        /// Longest wait for the log to settle a claim.
        #[serde(with = "humantime_serde")]
        pub claim_wait: Duration,
        /// Operation keys remembered at most.
        pub keys: usize,
        /// Answers kept for repeats at most, together.
        pub answers: ByteSize,
        /// Largest answer that is kept.
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
