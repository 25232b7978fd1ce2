//! What this router has learned about the backend servers that it calls.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::Instant;

use reqwest::redirect::Policy;

use crate::decide::{Outliers, RetryBudget};
use crate::settings::Traffic;

/// Retry budget and results of one pool.
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

    /// The retry budget, for a short look.
    pub(crate) fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap()
    }

    /// The results, for a short look.
    pub(crate) fn outliers(&self) -> MutexGuard<'_, Outliers> {
        self.outliers.lock().unwrap()
    }
}

/// Records by pool, and the client for calls that may not be repeated.
#[derive(Debug)]
pub struct Upstream {
    /// Client without kept connections, so that a call neither meets a
    /// connection that the service is just closing nor an answer to another call.
    pub(crate) unpooled: reqwest::Client,
    pools: RwLock<HashMap<String, Arc<PoolRecord>>>,
}

impl Upstream {
    /// No records yet.
    ///
    /// # Errors
    /// Fails when the client cannot be made.
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

/// A client for backend servers that sends nothing twice on its own: no
/// redirects, no retries, no proxy.
pub(crate) fn client_builder(traffic: &Traffic) -> reqwest::ClientBuilder {
    reqwest::Client::builder()
        .connect_timeout(traffic.connect)
        .redirect(Policy::none())
        .retry(reqwest::retry::never())
        .http1_only()
        .no_proxy()
}
