//! Settings of orders to engines.

use std::time::Duration;

use serde::Deserialize;

plain! {
    /// Orders to engines: what they load and unload.
    #[derive(Deserialize)]
    #[serde(default, deny_unknown_fields)]
    pub struct Orders {
        /// Interval between checks of what engines have loaded.
        #[serde(with = "humantime_serde")]
        pub every: Duration,
        /// How long a claim in the log is valid unless its router ends it earlier; its order
        /// is sent within the first half.
        #[serde(with = "humantime_serde")]
        pub hold: Duration,
        /// Maximum number of concurrent loads from the weight store in the whole fleet.
        pub loads: usize,
    }
}

impl Default for Orders {
    fn default() -> Orders {
        Orders { every: Duration::from_millis(500), hold: Duration::from_secs(120), loads: 8 }
    }
}
