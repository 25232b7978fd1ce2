//! Who may send work when there is not enough room.

use std::time::Duration;

use serde::Deserialize;

use crate::decide::QueueLimits;

plain! {
    /// Who may send work when there is not enough room.
    #[derive(Deserialize)]
    #[serde(default, deny_unknown_fields)]
    pub struct Admission {
        /// Requests given to engines as a multiple of their slots.
        pub headroom: f64,
        /// The same while only short requests are added.
        pub short_headroom: f64,
        /// Requests of at most so many tokens go before longer ones.
        pub short_tokens: u64,
        /// Requests that wait in one pool's queue at most.
        pub queue: usize,
        /// Requests of one organisation that wait there at most.
        pub organisation_queue: usize,
        /// How long a request waits at most.
        #[serde(with = "humantime_serde")]
        pub wait: Duration,
        /// A longer request that has waited so long goes before short ones.
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
