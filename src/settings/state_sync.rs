//! Settings of how state is kept up to date.

use std::time::Duration;

use bytesize::ByteSize;
use serde::Deserialize;

plain! {
    /// How state is kept up to date.
    #[derive(Deserialize)]
    #[serde(default, deny_unknown_fields)]
    pub struct StateSync {
        /// Maximum control bytes per second, sent and received, including HTTP headers.
        pub budget: ByteSize,
        /// Interval between exchanges with other routers while nothing changes.
        #[serde(with = "humantime_serde")]
        pub gossip_every: Duration,
        /// How long a leaving mark is valid while the instance list still shows the backend
        /// server as live.
        #[serde(with = "humantime_serde")]
        pub mark_hold: Duration,
        /// Interval between snapshots in the log; must be well below the log's retention.
        #[serde(with = "humantime_serde")]
        pub snapshot_every: Duration,
        /// Interval at which the fleet as a whole reads the instance list.
        #[serde(with = "humantime_serde")]
        pub list_every: Duration,
        /// Interval between polls of an engine's load.
        #[serde(with = "humantime_serde")]
        pub load_every: Duration,
        /// Maximum time that one read of the log waits for new records.
        #[serde(with = "humantime_serde")]
        pub log_wait: Duration,
        /// Pause after a failed request to the platform.
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
