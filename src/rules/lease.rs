//! Staleness of this router's copy of the rules.

use std::sync::Mutex;
use std::time::Duration;

/// The time up to which this router is known to have all rules.
///
/// A read confirms the rules in force when it was sent, not when it was answered.
/// Times are since boot and include suspensions of the machine, so that the lease
/// of a suspended process has expired when it wakes up.
#[derive(Debug, Default)]
pub struct Lease {
    /// Invariant: never decreases.
    confirmed: Mutex<Option<Duration>>,
}

impl Lease {
    /// Renews the lease by a successful read that was sent at `sent`.
    pub fn renew(&self, sent: Duration) {
        let mut confirmed = self.confirmed.lock().unwrap();
        *confirmed = Some(confirmed.map_or(sent, |it| it.max(sent)));
    }

    /// For how long the rules may have changed unnoticed; absent before the first read.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let confirmed = *self.confirmed.lock().unwrap();
        confirmed.map(|it| now.saturating_sub(it))
    }

    /// Whether the rules were confirmed less than `max_age` ago.
    pub fn holds(&self, now: Duration, max_age: Duration) -> bool {
        self.age(now).is_some_and(|age| age < max_age)
    }
}
