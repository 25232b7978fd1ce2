//! The share of a router in a limit that a backend server has for the whole fleet.

use crate::decide::combine;

/// Limit that is assumed at least, in requests a second, so that the fleet notices when the
/// server takes more again.
const MIN_LIMIT: f64 = 0.2;

/// Part of the rate of a cold server that all shares add up to. The rest is for routers that
/// take themselves for senders because they do not know all others.
const COLD_PART: f64 = 0.75;
/// Requests a second of a cold server's rate for each router that sends to it.
const COLD_RATE_PER_SENDER: f64 = 3.0;

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
        self.share_of(server, limit, limit as usize)
    }

    /// This router's share of the requests a second that `server` takes while it is cold.
    ///
    /// The bound holds in each second, so that fewer routers send than to a server that names a
    /// limit: what each may send at one moment counts in full.
    pub fn cold_share(&self, server: u64, rate: f64) -> f64 {
        let senders = (rate / COLD_RATE_PER_SENDER).ceil() as usize;
        self.share_of(server, rate * COLD_PART, senders)
    }

    /// The share of this router if it is among the first `senders` in the rendezvous order.
    fn share_of(&self, server: u64, limit: f64, senders: usize) -> f64 {
        let senders = senders.clamp(1, self.others.len() + 1);
        let own = combine(server, self.own);
        let rank = self.others.iter().filter(|it| combine(server, **it) > own).count();
        if rank < senders { limit / senders as f64 } else { 0.0 }
    }
}
