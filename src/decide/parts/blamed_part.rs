//! A part that is blamed for the crashes of backend servers.

use std::time::{Duration, Instant};

use crate::decide::PartIds;

/// How long after the last crash requests with a blamed part are refused.
const BLAME_TIME: Duration = Duration::from_secs(4 * 3_600);
/// How long after that one more crash is enough to blame it again.
const PROBATION_TIME: Duration = Duration::from_secs(4 * 3_600);

plain! {
    /// A part that is blamed for the crashes of backend servers.
    pub struct BlamedPart {
        /// Its id.
        pub part: u64,
        /// When a server crashed under it last.
        pub at: Instant,
        /// Parts that all runs had which speak against it. While one of them is blamed too, the
        /// crashes may be due to that part alone.
        pub companions: PartIds,
    }
}

impl BlamedPart {
    /// Whether requests with it are refused.
    pub fn is_in_force(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < BLAME_TIME
    }

    /// Whether it can be forgotten.
    pub fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) >= BLAME_TIME + PROBATION_TIME
    }

    /// Adds what another router knows of the same part, or another run says of it.
    pub fn merge(&mut self, at: Instant, companions: &[u64]) {
        self.at = self.at.max(at);
        self.companions.retain(|it| companions.contains(it));
    }
}
