//! The budget for retries.

use std::time::{Duration, Instant};

/// Maximum time since the last refill for which retries are earned.
const MAX_REFILL_TIME: Duration = Duration::from_secs(60);
/// Thousandths in one retry; the budget counts thousandths to keep fractions.
const MILLIS: f64 = 1_000.0;

/// The rate at which retries are earned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryRate {
    /// Retries that each request earns.
    pub per_request: f64,
    /// Retries earned in each second, also without any request.
    pub per_second: f64,
    /// Maximum number of retries saved up.
    pub max_saved: f64,
}

impl Default for RetryRate {
    fn default() -> RetryRate {
        RetryRate { per_request: 0.1, per_second: 1.0, max_saved: 20.0 }
    }
}

/// Token bucket for the retries of one pool. It keeps retries a small share of the
/// requests, so that an overloaded or failing pool does not get a multiple of its load.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    rate: RetryRate,
    /// Retries saved up, in thousandths. Invariant: at most `rate.max_saved`.
    millis: u64,
    /// Time of the last refill.
    filled: Instant,
}

impl RetryBudget {
    /// Returns a full budget at the default rate.
    pub fn new(now: Instant) -> RetryBudget {
        RetryBudget::with_rate(RetryRate::default(), now)
    }

    /// Returns a full budget at `rate`.
    pub fn with_rate(rate: RetryRate, now: Instant) -> RetryBudget {
        RetryBudget { rate, millis: millis(rate.max_saved), filled: now }
    }

    /// Changes the rate; what exceeds the new maximum is lost.
    pub fn set_rate(&mut self, rate: RetryRate) {
        self.rate = rate;
        self.millis = self.millis.min(millis(rate.max_saved));
    }

    /// Counts the first attempt of a request.
    pub fn earn(&mut self) {
        self.add(millis(self.rate.per_request));
    }

    /// Takes one retry; false when none is available.
    pub fn spend(&mut self, now: Instant) -> bool {
        self.fill(now);
        let available = self.millis >= 1_000;
        if available {
            self.millis -= 1_000;
        }
        available
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled).min(MAX_REFILL_TIME);
        let earned = (passed.as_secs_f64() * self.rate.per_second * MILLIS) as u64;
        if earned > 0 {
            self.add(earned);
            self.filled = now;
        }
    }

    fn add(&mut self, earned: u64) {
        self.millis = (self.millis + earned).min(millis(self.rate.max_saved));
    }
}

fn millis(retries: f64) -> u64 {
    (retries * MILLIS) as u64
}
