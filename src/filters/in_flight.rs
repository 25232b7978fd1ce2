//! Work that this router has given to a backend server.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use prometheus::IntGauge;

/// Counts tokens as sent until dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    sent: Arc<AtomicU64>,
    cost: u64,
    requests: IntGauge,
}

impl InFlight {
    /// Counts `cost` tokens towards `sent` and one request towards `requests`.
    pub(crate) fn new(sent: &Arc<AtomicU64>, cost: u64, requests: &IntGauge) -> InFlight {
        sent.fetch_add(cost, Ordering::Relaxed);
        requests.inc();
        InFlight { sent: Arc::clone(sent), cost, requests: requests.clone() }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.sent.fetch_sub(self.cost, Ordering::Relaxed);
        self.requests.dec();
    }
}
