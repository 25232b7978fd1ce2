//! Settings of the event log.

use serde::Deserialize;

plain! {
    /// Settings of the event log.
    #[derive(Deserialize)]
    #[serde(default, deny_unknown_fields)]
    pub struct Events {
        /// Recent events stored for each of 4 groups of threads.
        pub ring: usize,
    }
}

impl Default for Events {
    fn default() -> Events {
        Events { ring: 4_096 }
    }
}
