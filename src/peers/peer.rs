//! One of the other routers, and which news of it counts.

use std::cmp::Ordering;
use std::time::{Duration, Instant};

use crate::wire::{ServerLoad, WireRouter};

/// A router that was not heard of for this long counts as dead: three exchanges.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Another router, as it was heard of last.
#[derive(Debug)]
pub(crate) struct Peer {
    pub router: WireRouter,
    /// Callers may be sent there.
    pub ready: bool,
    /// It is shutting down.
    pub leaving: bool,
    /// When it lived, as far as known.
    pub last_seen: Instant,
    /// It refused a connection since it was heard.
    pub refused: bool,
    /// Requests in flight by backend server, as it told itself, and when.
    pub loads: Option<(Instant, Vec<ServerLoad>)>,
}

impl Peer {
    /// Whether it counts as alive.
    pub fn is_alive(&self, now: Instant) -> bool {
        !self.refused && now.saturating_duration_since(self.last_seen) < PEER_TIMEOUT
    }

    /// Whether what was heard of `router` at `heard` is newer than this. The start of an
    /// incarnation comes from a clock that may step back, so that a later one may have
    /// a lower one: such a one must speak for itself, or the former be silent for long.
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
    /// It sent the message.
    Direct,
    /// Another router or the platform's store told.
    Indirect,
}
