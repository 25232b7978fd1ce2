//! How events are kept.

use serde::Deserialize;

plain! {
    /// How events are kept.
    #[derive(Deserialize)]
    #[serde(default, deny_unknown_fields)]
    pub struct Events {
        /// Events kept for each of 4 groups of threads.
        pub ring: usize,
    }
}

impl Default for Events {
    fn default() -> Events {
        Events { ring: 4_096 }
    }
}
