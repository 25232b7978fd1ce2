//! Requests that this router has in flight at backend servers.

use std::sync::Arc;

use prometheus::IntGauge;

use crate::admission::Permit;
use crate::decide::SentTokens;

/// A request in flight; its tokens count as sent until this is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    sent: Arc<SentTokens>,
    cost: u64,
    requests: IntGauge,
    /// Admission permit, released when the request ends.
    _permit: Option<Arc<Permit>>,
}

impl InFlight {
    /// Counts `cost` tokens towards `sent` and one request towards `requests`.
    pub(crate) fn new(
        sent: &Arc<SentTokens>,
        cost: u64,
        requests: &IntGauge,
        permit: Option<&Arc<Permit>>,
    ) -> InFlight {
        sent.add(cost);
        requests.inc();
        InFlight {
            sent: Arc::clone(sent),
            cost,
            requests: requests.clone(),
            _permit: permit.cloned(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.sent.remove(self.cost);
        self.requests.dec();
    }
}
