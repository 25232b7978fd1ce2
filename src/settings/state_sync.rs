//! How state is kept up to date.

use std::time::Duration;

use bytesize::ByteSize;
use serde::Deserialize;

plain! {
    /// How state is kept up to date.
    #[derive(Deserialize)]
    #[serde(default, deny_unknown_fields)]
    pub struct StateSync {
        /// Control bytes a second, both ways, heads included.
        pub budget: ByteSize,
        /// Pause between two exchanges with other routers while nothing changes.
        #[serde(with = "humantime_serde")]
        pub gossip_every: Duration,
        /// How long a leaving mark holds against list versions that show the
        /// backend server as live.
        #[serde(with = "humantime_serde")]
        pub mark_hold: Duration,
        /// Pause between two snapshots in the log; well below its retention.
        #[serde(with = "humantime_serde")]
        pub snapshot_every: Duration,
        /// Pause between two looks of the whole fleet at the instance list.
        #[serde(with = "humantime_serde")]
        pub list_every: Duration,
        /// Pause between two looks at the load of an engine.
        #[serde(with = "humantime_serde")]
        pub load_every: Duration,
        /// How long one read of the log waits for news.
        #[serde(with = "humantime_serde")]
        pub log_wait: Duration,
        /// Pause after a failed call to the platform.
        #[serde(with = "humantime_serde")]
        pub retry_every: Duration,
    }
}

impl Default for StateSync {
    fn default() -> StateSync {
        StateSync {
            budget: ByteSize::kib(4),
            gossip_every: Duration::from_secs(1),
            mark_hold: Duration::from_secs(30),
            snapshot_every: Duration::from_secs(600),
            list_every: Duration::from_secs(1),
            load_every: Duration::from_millis(500),
            log_wait: Duration::from_secs(10),
            retry_every: Duration::from_millis(500),
        }
    }
}
