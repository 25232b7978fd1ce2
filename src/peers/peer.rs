//! One of the other routers, and which news of it counts.

use std::cmp::Ordering;
use std::time::{Duration, Instant};

use crate::wire::{ServerLoad, WireRouter};

/// A router that was not heard of for this long counts as dead: three exchanges.
pub(crate) const ALIVE_TIME: Duration = Duration::from_millis(1_600);

/// Another router, as it was heard of last.
#[derive(Debug)]
pub(crate) struct Peer {
    pub router: WireRouter,
    /// Callers may be sent there.
    pub ready: bool,
    /// It is shutting down.
    pub leaving: bool,
    /// When it lived, as far as known.
    pub heard: Instant,
    /// It refused a connection since it was heard.
    pub refused: bool,
    /// Requests in flight by backend server, as it told itself, and when.
    pub loads: Option<(Instant, Vec<ServerLoad>)>,
}

impl Peer {
    /// Whether it counts as alive.
    pub fn is_alive(&self, now: Instant) -> bool {
        !self.refused && now.saturating_duration_since(self.heard) < ALIVE_TIME
    }

    /// Whether what was heard of `router` at `heard` is newer than this. The start of an
    /// incarnation comes from a clock that may step back, so that a later one may have
    /// a lower one: such a one must speak for itself, or the former be silent for long.
    pub fn yields_to(&self, router: &WireRouter, heard: Instant, way: Way) -> bool {
        let later = heard > self.heard;
        match (router.born.cmp(&self.router.born), way) {
            (Ordering::Equal, _) | (Ordering::Greater, Way::Told) => later,
            (_, Way::Direct) => heard >= self.heard,
            (Ordering::Less, Way::Told) => heard > self.heard + ALIVE_TIME,
        }
    }
}

/// How a router was heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Way {
    /// It sent the message.
    Direct,
    /// Another router or the platform's store told.
    Told,
}
