//! Things that a router passes on for a while after it has learnt them.

use std::time::{Duration, Instant};

/// How long a router passes on what it has learnt.
const NEWS_TIME: Duration = Duration::from_secs(3);

/// Something learnt, and when.
#[derive(Debug, Clone)]
pub(crate) struct Learnt<T> {
    pub value: T,
    pub at: Instant,
}

impl<T> Learnt<T> {
    /// Something learnt `now`.
    pub fn new(value: T, now: Instant) -> Learnt<T> {
        Learnt { value, at: now }
    }

    /// Whether it is still passed on.
    pub fn is_news(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < NEWS_TIME
    }
}
