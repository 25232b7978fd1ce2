//! Settings of admission control: how requests are queued when engines are busy.

use std::time::Duration;

use serde::Deserialize;

use crate::decide::QueueLimits;

plain! {
    /// How requests are queued when engines are busy.
    #[derive(Deserialize)]
    #[serde(default, deny_unknown_fields)]
    pub struct Admission {
        /// Maximum number of requests sent to engines, as a multiple of their slots.
        pub headroom: f64,
        /// The same limit for short requests.
        pub short_headroom: f64,
        /// Requests of at most this many tokens are short; they leave the queue before longer ones.
        pub short_tokens: u64,
        /// Maximum number of requests in the queue of a pool.
        pub queue: usize,
        /// Maximum number of requests of one organisation in that queue.
        pub organisation_queue: usize,
        /// Maximum time that a request waits in the queue.
        #[serde(with = "humantime_serde")]
        pub wait: Duration,
        /// A longer request that has waited this long leaves the queue before short ones.
        #[serde(with = "humantime_serde")]
        pub aging: Duration,
    }
}

impl Default for Admission {
    fn default() -> Admission {
        Admission {
            headroom: 1.5,
            short_headroom: 3.0,
            short_tokens: 256,
            queue: 1_024,
            organisation_queue: 256,
            wait: Duration::from_secs(5),
            aging: Duration::from_secs(1),
        }
    }
}

impl From<&Admission> for QueueLimits {
    fn from(it: &Admission) -> QueueLimits {
        QueueLimits {
            total: it.queue,
            organisation: it.organisation_queue,
            short_tokens: it.short_tokens,
            aging: it.aging,
        }
    }
}
