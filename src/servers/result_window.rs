//! Decaying counts of a backend server's results.

use std::time::{Duration, Instant};

use crate::decide::Results;

/// Time after which a result has half its weight.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Counts of good and bad results, with exponential decay.
#[derive(Debug, Default)]
pub(crate) struct ResultWindow {
    results: Results,
    /// Time as of which `results` are decayed.
    updated: Option<Instant>,
}

impl ResultWindow {
    /// Counts one result.
    pub fn add(&mut self, good: bool, now: Instant) {
        let mut results = self.results(now);
        if good {
            results.good += 1.0;
        } else {
            results.bad += 1.0;
        }
        *self = ResultWindow { results, updated: Some(now) };
    }

    /// The counts as of `now`.
    pub fn results(&self, now: Instant) -> Results {
        let Some(updated) = self.updated else {
            return Results::default();
        };
        let elapsed = now.saturating_duration_since(updated).as_secs_f64();
        let remaining = 0.5f64.powf(elapsed / HALF_LIFE.as_secs_f64());
        Results { good: self.results.good * remaining, bad: self.results.bad * remaining }
    }
}
