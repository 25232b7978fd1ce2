//! How often requests with each key arrive.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time over which arrivals are averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(1);
/// Time in which requests of other routers are not known: between two of their reports.
pub const UNSEEN_TIME: Duration = Duration::from_millis(500);
/// Limit on the keys; beyond it, those are dropped that did not arrive lately.
const MAX_KEYS: usize = 20_000;

#[derive(Debug, Clone, Copy)]
struct Arrivals {
    /// Count of arrivals with exponential decay, as of `at`.
    count: f64,
    at: Instant,
}

impl Arrivals {
    fn count(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at);
        self.count * (-elapsed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp()
    }
}

/// Rates of arrival by key, with exponential decay.
#[derive(Debug, Default)]
pub struct KeyRates {
    arrivals: HashMap<u64, Arrivals>,
}

impl KeyRates {
    /// Records an arrival; returns the rate of those before it, in requests a second.
    pub fn record(&mut self, key: u64, now: Instant) -> f64 {
        if self.arrivals.len() >= MAX_KEYS {
            self.arrivals.retain(|_, it| it.count(now) > 0.5);
        }
        if self.arrivals.len() >= MAX_KEYS {
            self.arrivals.clear();
        }
        let it = self.arrivals.entry(key).or_insert(Arrivals { count: 0.0, at: now });
        let former = it.count(now);
        *it = Arrivals { count: former + 1.0, at: now };
        former / AVERAGING_TIME.as_secs_f64()
    }
}
