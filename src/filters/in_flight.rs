//! Work that this router has given to a backend server.

use std::sync::Arc;

use prometheus::IntGauge;

use crate::admission::Pass;
use crate::decide::SentTokens;

/// Counts tokens as sent until dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    sent: Arc<SentTokens>,
    cost: u64,
    requests: IntGauge,
    /// Given back when the work ends.
    _pass: Option<Arc<Pass>>,
}

impl InFlight {
    /// Counts `cost` tokens towards `sent` and one request towards `requests`.
    pub(crate) fn new(
        sent: &Arc<SentTokens>,
        cost: u64,
        requests: &IntGauge,
        pass: Option<&Arc<Pass>>,
    ) -> InFlight {
        sent.add(cost);
        requests.inc();
        InFlight { sent: Arc::clone(sent), cost, requests: requests.clone(), _pass: pass.cloned() }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.sent.remove(self.cost);
        self.requests.dec();
    }
}
