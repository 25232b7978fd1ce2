//! What this router has observed of the backend servers that it calls.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::Instant;

use reqwest::redirect::Policy;

use crate::decide::{Outliers, RetryBudget};
use crate::settings::Traffic;

/// Retry budget and outlier detection of one pool.
#[derive(Debug)]
pub struct PoolRecord {
    budget: Mutex<RetryBudget>,
    outliers: Mutex<Outliers>,
}

impl PoolRecord {
    fn new(now: Instant) -> PoolRecord {
        PoolRecord {
            budget: Mutex::new(RetryBudget::new(now)),
            outliers: Mutex::new(Outliers::default()),
        }
    }

    /// Locks the retry budget; hold the guard only briefly.
    pub(crate) fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap()
    }

    /// Locks the outlier detection; hold the guard only briefly.
    pub(crate) fn outliers(&self) -> MutexGuard<'_, Outliers> {
        self.outliers.lock().unwrap()
    }
}

/// Records by pool, and the client for calls that must not be sent twice.
#[derive(Debug)]
pub struct Upstream {
    /// Client without a connection pool, so that a call meets neither a connection
    /// that the service is just closing nor the answer to another call.
    pub(crate) unpooled: reqwest::Client,
    pools: RwLock<HashMap<String, Arc<PoolRecord>>>,
}

impl Upstream {
    /// An upstream without records.
    ///
    /// # Errors
    /// Fails when the HTTP client cannot be built.
    pub fn new(traffic: &Traffic) -> Result<Upstream, reqwest::Error> {
        let unpooled = client_builder(traffic).pool_max_idle_per_host(0).build()?;
        Ok(Upstream { unpooled, pools: RwLock::default() })
    }

    /// The record of `pool`.
    pub(crate) fn pool(&self, pool: &str, now: Instant) -> Arc<PoolRecord> {
        if let Some(it) = self.pools.read().unwrap().get(pool) {
            return Arc::clone(it);
        }
        let mut pools = self.pools.write().unwrap();
        let it = pools.entry(pool.to_owned()).or_insert_with(|| Arc::new(PoolRecord::new(now)));
        Arc::clone(it)
    }
}

/// Builder of a client for backend servers that never sends a request twice on
/// its own: no redirects, no retries, no proxy.
pub(crate) fn client_builder(traffic: &Traffic) -> reqwest::ClientBuilder {
    reqwest::Client::builder()
        .connect_timeout(traffic.connect)
        .redirect(Policy::none())
        .retry(reqwest::retry::never())
        .http1_only()
        .no_proxy()
}
