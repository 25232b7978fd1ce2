//! The gates of all pools, and the rate limits of all organisations.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use crate::admission::PoolLimiter;
use crate::decide::{QueueLimits, RateLimit};
use crate::wire::LoadReport;

plain! {
    /// Sums over a pool's engines, as last reported.
    #[derive(Default)]
    pub struct PoolLoad {
        /// Requests that they can run at once; 0 when unknown.
        pub slots: u64,
        /// Requests running and waiting.
        pub busy: u64,
    }
}

impl PoolLoad {
    /// Adds one engine's report, if there is one.
    pub fn add(&mut self, report: Option<&LoadReport>) {
        if let Some(report) = report {
            self.slots += report.slots;
            self.busy += report.running + report.queued;
        }
    }
}

/// The gates of all pools, and the rate limits of all organisations.
#[derive(Debug)]
pub struct AdmissionControl {
    limits: QueueLimits,
    gates: RwLock<HashMap<String, Arc<PoolLimiter>>>,
    rates: Mutex<HashMap<String, RateLimit>>,
}

impl AdmissionControl {
    /// No gates yet; each has its queue bounded by `limits`.
    pub fn new(limits: QueueLimits) -> AdmissionControl {
        AdmissionControl { limits, gates: RwLock::default(), rates: Mutex::default() }
    }

    /// The gate of `pool`.
    pub fn limiter(&self, pool: &str, now: Instant) -> Arc<PoolLimiter> {
        if let Some(gate) = self.gates.read().unwrap().get(pool) {
            return Arc::clone(gate);
        }
        let mut gates = self.gates.write().unwrap();
        let fresh = || Arc::new(PoolLimiter::new(self.limits.clone(), now));
        Arc::clone(gates.entry(pool.to_owned()).or_insert_with(fresh))
    }

    /// Counts one request of `organisation` against `rate` requests a second.
    ///
    /// # Errors
    /// Tells after what time the next request may pass.
    pub fn check_rate(&self, organisation: &str, rate: f64, now: Instant) -> Result<(), Duration> {
        let mut rates = self.rates.lock().unwrap();
        if let Some(limit) = rates.get_mut(organisation) {
            return limit.take(rate, now);
        }
        let mut limit = RateLimit::new(rate, now);
        let taken = limit.take(rate, now);
        rates.insert(organisation.to_owned(), limit);
        taken
    }

    /// Requests that wait, over all pools.
    pub fn waiting(&self) -> usize {
        self.gates.read().unwrap().values().map(|it| it.waiting()).sum()
    }
}
