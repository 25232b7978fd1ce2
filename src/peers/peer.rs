//! One other router, and which reports on it replace an earlier one.

use std::cmp::Ordering;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::wire::{ServerLoad, WireRouter};

/// A router that was last seen this long ago counts as dead: three exchanges.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Another router, as of the newest report on it.
#[derive(Debug)]
pub(crate) struct Peer {
    pub router: WireRouter,
    /// Callers may be sent there.
    pub ready: bool,
    /// It is shutting down.
    pub leaving: bool,
    /// Latest time at which it is known to have been alive.
    pub last_seen: Instant,
    /// It refused a connection since it was last seen.
    pub refused: bool,
    /// Requests in flight by backend server, from its own last message, and when that
    /// message was received.
    pub loads: Option<(Instant, Vec<ServerLoad>)>,
    /// Hashes of the names of services whose backend servers it does not reach, as it last said.
    pub cut_off: SmallVec<[u64; 2]>,
}

impl Peer {
    /// Whether it counts as alive.
    pub fn is_alive(&self, now: Instant) -> bool {
        !self.refused && now.saturating_duration_since(self.last_seen) < PEER_TIMEOUT
    }

    /// Whether a report that `router` was alive at `seen_at` replaces this one. The start
    /// time of an incarnation comes from a clock that may be set back, so a later
    /// incarnation may have an earlier start time. Such a report counts only if the router
    /// sent it itself, or once the known incarnation has been silent for `PEER_TIMEOUT`.
    pub fn is_superseded_by(
        &self,
        router: &WireRouter,
        seen_at: Instant,
        source: ReportSource,
    ) -> bool {
        let later = seen_at > self.last_seen;
        match (router.born.cmp(&self.router.born), source) {
            (Ordering::Equal, _) | (Ordering::Greater, ReportSource::Indirect) => later,
            (_, ReportSource::Direct) => seen_at >= self.last_seen,
            (Ordering::Less, ReportSource::Indirect) => seen_at > self.last_seen + PEER_TIMEOUT,
        }
    }
}

/// Where a report on a router comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReportSource {
    /// The router itself.
    Direct,
    /// Another router, or the platform's store.
    Indirect,
}
