//! Whether a source of state answers.

use std::time::{Duration, Instant};

use rand::Rng;

/// Pause after the first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause, so that a return is noticed soon.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// A source that was away for less has missed nothing that matters.
const SHORT_OUTAGE: Duration = Duration::from_millis(900);

key! {
    /// What a result changed.
    pub enum SourceTransition {
        /// Nothing.
        None,
        /// The source was answering and no longer does.
        Lost,
        /// It answers again after an outage that was long enough to matter (true) or not.
        /// The last call that failed was sent at the given time.
        Restored(bool, Instant),
    }
}

/// Failures of one source in a row, and the pause until the next call: exponential
/// backoff with jitter.
#[derive(Debug, Default)]
pub struct SourceHealth {
    failures: u32,
    lost: Option<Instant>,
    /// When the last call that failed was sent.
    last: Option<Instant>,
}

impl SourceHealth {
    /// A call succeeded.
    pub fn record_success(&mut self, now: Instant) -> SourceTransition {
        self.failures = 0;
        let lost = self.lost.take().zip(self.last.take());
        lost.map_or(SourceTransition::None, |(at, last)| {
            SourceTransition::Restored(now.saturating_duration_since(at) > SHORT_OUTAGE, last)
        })
    }

    /// A call failed that was sent at `sent`.
    pub fn record_failure(&mut self, sent: Instant) -> SourceTransition {
        self.failures += 1;
        let first = self.lost.is_none();
        self.lost.get_or_insert(sent);
        self.last = Some(sent);
        if first { SourceTransition::Lost } else { SourceTransition::None }
    }

    /// How long to wait before the next call.
    pub fn retry_delay(&self, random: &mut impl Rng) -> Duration {
        let growth = 2u32.saturating_pow(self.failures.saturating_sub(1).min(8));
        let whole = (FIRST_PAUSE * growth).min(LONGEST_PAUSE);
        whole.mul_f64(random.random_range(0.5..1.0))
    }
}
