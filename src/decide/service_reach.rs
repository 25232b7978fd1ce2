//! Whether a router reaches the backend servers of a service at all.

use smallvec::SmallVec;

/// Number of servers that cannot be connected to, with no success in between, from which on the
/// router is taken to be cut off. All servers of a smaller service.
const MIN_FAILED: usize = 3;

/// What the new connections of a router to the servers of one service show. Open connections
/// show nothing, as they may live on while new ones are refused.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceReach {
    /// Servers that could not be connected to since the last success. Invariant: distinct, at
    /// most `MIN_FAILED`.
    failed: SmallVec<[u64; MIN_FAILED]>,
    is_cut_off: bool,
}

impl ServiceReach {
    /// Records that a server was connected to; true if the router was cut off until now.
    pub fn record_connected(&mut self) -> bool {
        self.failed.clear();
        std::mem::take(&mut self.is_cut_off)
    }

    /// Records that the server with the hash `server`, one of `count`, could not be connected
    /// to; true if the router is cut off from now on.
    pub fn record_unconnected(&mut self, server: u64, count: usize) -> bool {
        if self.is_cut_off || self.failed.contains(&server) {
            return false;
        }
        self.failed.push(server);
        self.is_cut_off = self.failed.len() >= MIN_FAILED.min(count.max(1));
        self.is_cut_off
    }

    /// Whether the router is cut off from all servers of the service.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }
}
