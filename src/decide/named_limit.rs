//! The share of a router in the limit that a backend server names to the whole fleet.

use crate::decide::combine;

/// Limit that is assumed at least, in requests a second, so that the fleet notices when the
/// server takes more again.
const MIN_LIMIT: f64 = 0.2;

/// The routers that share the limits of backend servers, by the hashes of their names.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct LimitSenders {
    /// This router.
    pub own: u64,
    /// All others that may send requests.
    pub others: Vec<u64>,
}

impl LimitSenders {
    /// This router's share of the requests a second that `server` takes from all routers.
    ///
    /// Only as many routers send as requests are taken a second, chosen by rendezvous
    /// hashing, and each of them an equal share: what a router saves up is one request at
    /// least, so that many small shares would exceed the limit together.
    pub fn share(&self, server: u64, limit: f64) -> f64 {
        let limit = limit.max(MIN_LIMIT);
        let routers = self.others.len() + 1;
        let senders = (limit as usize).clamp(1, routers);
        let own = combine(server, self.own);
        let rank = self.others.iter().filter(|it| combine(server, **it) > own).count();
        if rank < senders { limit / senders as f64 } else { 0.0 }
    }
}
