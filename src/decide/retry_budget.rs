//! How many requests may be sent again.

use std::time::{Duration, Instant};

/// Longest time without a request for which retries are earned.
const LONGEST_FILL: Duration = Duration::from_secs(60);
/// Thousandths of a retry in one; fractions are kept so.
const MILLIS: f64 = 1_000.0;

/// How retries are earned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryRate {
    /// Retries that each request earns.
    pub per_request: f64,
    /// Retries earned in each second without any request.
    pub per_second: f64,
    /// Most retries saved up.
    pub max_saved: f64,
}

impl Default for RetryRate {
    fn default() -> RetryRate {
        RetryRate { per_request: 0.1, per_second: 1.0, max_saved: 20.0 }
    }
}

/// Token bucket of one pool: retries stay a small share of requests, so that a
/// pool in trouble does not get a multiple of its load.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    rate: RetryRate,
    /// Invariant: at most `rate.max_saved`, in thousandths.
    millis: u64,
    filled: Instant,
}

impl RetryBudget {
    /// A full budget at the usual rate.
    pub fn new(now: Instant) -> RetryBudget {
        RetryBudget::with_rate(RetryRate::default(), now)
    }

    /// A full budget.
    pub fn with_rate(rate: RetryRate, now: Instant) -> RetryBudget {
        RetryBudget { rate, millis: millis(rate.max_saved), filled: now }
    }

    /// Goes on at another rate.
    pub fn set_rate(&mut self, rate: RetryRate) {
        self.rate = rate;
        self.millis = self.millis.min(millis(rate.max_saved));
    }

    /// Counts a first try.
    pub fn earn(&mut self) {
        self.add(millis(self.rate.per_request));
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self, now: Instant) -> bool {
        self.fill(now);
        let some = self.millis >= 1_000;
        if some {
            self.millis -= 1_000;
        }
        some
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled).min(LONGEST_FILL);
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
