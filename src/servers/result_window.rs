//! Results of a backend server, older ones counting less.

use std::time::{Duration, Instant};

use crate::decide::Results;

/// Time after which a result counts half.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Decaying counts of good and bad results.
#[derive(Debug, Default)]
pub(crate) struct ResultWindow {
    results: Results,
    /// When `results` was last brought up to date.
    at: Option<Instant>,
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
        *self = ResultWindow { results, at: Some(now) };
    }

    /// The counts as of `now`.
    pub fn results(&self, now: Instant) -> Results {
        let Some(at) = self.at else {
            return Results::default();
        };
        let passed = now.saturating_duration_since(at).as_secs_f64();
        let left = 0.5f64.powf(passed / HALF_LIFE.as_secs_f64());
        Results { good: self.results.good * left, bad: self.results.bad * left }
    }
}
