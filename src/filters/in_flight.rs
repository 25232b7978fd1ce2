//! Work that this router has given to a backend server.

use std::sync::Arc;

use prometheus::IntGauge;

use crate::decide::Sent;

/// Counts tokens as sent until dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    sent: Arc<Sent>,
    cost: u64,
    requests: IntGauge,
}

impl InFlight {
    /// Counts `cost` tokens towards `sent` and one request towards `requests`.
    pub(crate) fn new(sent: &Arc<Sent>, cost: u64, requests: &IntGauge) -> InFlight {
        sent.add(cost);
        requests.inc();
        InFlight { sent: Arc::clone(sent), cost, requests: requests.clone() }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.sent.remove(self.cost);
        self.requests.dec();
    }
}
