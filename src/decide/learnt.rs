//! Things that a router passes on for a while after it has learnt them.

use std::collections::HashMap;
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
        is_news(self.at, now)
    }
}

/// Whether what was learnt at `at` is still passed on.
pub(crate) fn is_news(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < NEWS_TIME
}

/// Removes the entry with the earliest time.
pub(crate) fn remove_oldest(times: &mut HashMap<u64, Learnt<Instant>>) {
    let oldest = times.iter().min_by_key(|(_, it)| it.value);
    if let Some(oldest) = oldest.map(|(key, _)| *key) {
        times.remove(&oldest);
    }
}
