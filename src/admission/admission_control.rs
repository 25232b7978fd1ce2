//! Concurrency limits of all pools, and rate limits of all organisations.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use crate::admission::PoolLimiter;
use crate::decide::{QueueLimits, RateLimit};
use crate::wire::LoadReport;

plain! {
    /// Load of a pool: sums over its engines' last reports.
    #[derive(Default)]
    pub struct PoolLoad {
        /// Requests that the engines can run at the same time; 0 when unknown.
        pub slots: u64,
        /// Requests running and waiting.
        pub busy: u64,
    }
}

impl PoolLoad {
    /// Adds the report of one engine, if there is one.
    pub fn add(&mut self, report: Option<&LoadReport>) {
        if let Some(report) = report {
            self.slots += report.slots;
            self.busy += report.running + report.queued;
        }
    }
}

/// Concurrency limits of all pools, and rate limits of all organisations.
#[derive(Debug)]
pub struct AdmissionControl {
    limits: QueueLimits,
    limiters: RwLock<HashMap<String, Arc<PoolLimiter>>>,
    rate_limits: Mutex<HashMap<String, RateLimit>>,
}

impl AdmissionControl {
    /// Creates admission control without pools; `limits` bounds the queue of each.
    pub fn new(limits: QueueLimits) -> AdmissionControl {
        AdmissionControl { limits, limiters: RwLock::default(), rate_limits: Mutex::default() }
    }

    /// The limiter of `pool`, created on first use.
    pub fn limiter(&self, pool: &str, now: Instant) -> Arc<PoolLimiter> {
        if let Some(limiter) = self.limiters.read().unwrap().get(pool) {
            return Arc::clone(limiter);
        }
        let mut limiters = self.limiters.write().unwrap();
        let new = || Arc::new(PoolLimiter::new(self.limits.clone(), now));
        Arc::clone(limiters.entry(pool.to_owned()).or_insert_with(new))
    }

    /// Counts one request of `organisation` against `rate` requests a second.
    ///
    /// # Errors
    /// The time after which the next request may pass.
    pub fn check_rate(&self, organisation: &str, rate: f64, now: Instant) -> Result<(), Duration> {
        let mut rate_limits = self.rate_limits.lock().unwrap();
        if let Some(limit) = rate_limits.get_mut(organisation) {
            return limit.take(rate, now);
        }
        let mut limit = RateLimit::new(rate, now);
        let result = limit.take(rate, now);
        rate_limits.insert(organisation.to_owned(), limit);
        result
    }

    /// Number of queued requests of all pools.
    pub fn waiting(&self) -> usize {
        self.limiters.read().unwrap().values().map(|it| it.waiting()).sum()
    }
}
