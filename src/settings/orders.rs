//! Orders to engines.

use std::time::Duration;

use serde::Deserialize;

plain! {
    /// Orders to engines.
    #[derive(Deserialize)]
    #[serde(default, deny_unknown_fields)]
    pub struct Orders {
        /// Pause between two looks at what engines hold.
        #[serde(with = "humantime_serde")]
        pub every: Duration,
        /// How long a claim in the log holds unless its router ends it; its
        /// order is sent within the first half.
        #[serde(with = "humantime_serde")]
        pub hold: Duration,
        /// Loads from the weight store at once over the whole fleet.
        pub loads: usize,
    }
}

impl Default for Orders {
    fn default() -> Orders {
        Orders { every: Duration::from_millis(500), hold: Duration::from_secs(120), loads: 8 }
    }
}
