//! Tracks whether a source of state answers, and delays retries while it does not.

use std::time::{Duration, Instant};

use rand::Rng;

/// Delay after the first failure.
const FIRST_DELAY: Duration = Duration::from_millis(100);
/// Limit on the delay, so that the end of an outage is noticed soon.
const MAX_DELAY: Duration = Duration::from_millis(800);
/// Up to this length, an outage has hidden no change that matters.
const MAX_SHORT_OUTAGE: Duration = Duration::from_millis(900);

key! {
    /// What the result of a call changed in the state of the source.
    pub enum SourceTransition {
        /// Nothing.
        None,
        /// The source no longer answers.
        Lost,
        /// It answers again: whether the outage was long enough to hide changes that
        /// matter, and when the last call that failed was sent.
        Restored(bool, Instant),
    }
}

/// Consecutive failures of one source, and the delay until the next call: exponential
/// backoff with jitter.
#[derive(Debug, Default)]
pub struct SourceHealth {
    failures: u32,
    /// When the first call of the outage was sent.
    lost_since: Option<Instant>,
    /// When the last call that failed was sent.
    last_failure: Option<Instant>,
}

impl SourceHealth {
    /// Records that a call succeeded.
    pub fn record_success(&mut self, now: Instant) -> SourceTransition {
        self.failures = 0;
        let lost = self.lost_since.take().zip(self.last_failure.take());
        lost.map_or(SourceTransition::None, |(at, last)| {
            SourceTransition::Restored(now.saturating_duration_since(at) > MAX_SHORT_OUTAGE, last)
        })
    }

    /// Records that the call sent at `sent` failed.
    pub fn record_failure(&mut self, sent: Instant) -> SourceTransition {
        self.failures += 1;
        let first = self.lost_since.is_none();
        self.lost_since.get_or_insert(sent);
        self.last_failure = Some(sent);
        if first { SourceTransition::Lost } else { SourceTransition::None }
    }

    /// Notes that what the source supplies was last current at `at`, which other routers may have
    /// told: an outage that has been noticed since began then.
    pub fn extend_outage(&mut self, at: Instant) {
        self.lost_since = self.lost_since.map(|it| it.min(at));
    }

    /// The delay before the next call.
    pub fn retry_delay(&self, random: &mut impl Rng) -> Duration {
        let growth = 2u32.saturating_pow(self.failures.saturating_sub(1).min(8));
        let full = (FIRST_DELAY * growth).min(MAX_DELAY);
        full.mul_f64(random.random_range(0.5..1.0))
    }
}
