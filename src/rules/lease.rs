//! How long a copy of the rules may be trusted.

use std::sync::Mutex;
use std::time::Duration;

/// The moment up to which this router is known to have all rules.
///
/// A read proves what was in force when it was sent, not when it was answered.
/// Times are since the machine's start and count its suspensions, so that a
/// process that was suspended finds its lease expired.
#[derive(Debug, Default)]
pub struct Lease {
    /// Invariant: never falls.
    proven: Mutex<Option<Duration>>,
}

impl Lease {
    /// A read that was sent at `sent` succeeded.
    pub fn renew(&self, sent: Duration) {
        let mut proven = self.proven.lock().unwrap();
        *proven = Some(proven.map_or(sent, |it| it.max(sent)));
    }

    /// Time since which the rules may have changed unseen; absent before the first read.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let proven = *self.proven.lock().unwrap();
        proven.map(|it| now.saturating_sub(it))
    }

    /// Whether the rules are known to be at most `bound` old.
    pub fn holds(&self, now: Duration, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
