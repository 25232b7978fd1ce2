//! One other router, and which reports on it replace an earlier one.

use std::cmp::Ordering;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::decide::{ServerTokens, hash_bytes};
use crate::peers::{FailureKind, PeerFailure};
use crate::wire::{ServerLoad, Sighting, WireObservation, WireRouter};

/// Limit on the silence of a router that counts as alive, in a fleet in which all exchange with
/// each other in every round: three rounds.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Another router, as of the newest report on it.
#[derive(Debug)]
pub(crate) struct Peer {
    pub router: WireRouter,
    /// Hash of its name.
    pub hash: u64,
    /// Callers may be sent there.
    pub ready: bool,
    /// It is shutting down.
    pub leaving: bool,
    /// Latest time at which it is known to have been alive.
    pub last_seen: Instant,
    /// When its process, or whether it is alive, ready or leaving, last changed as far as known
    /// here.
    pub changed: Instant,
    /// When its process refused a connection. The process is gone then: only its own message or
    /// a report on another process shows otherwise.
    pub refused: Option<Instant>,
    /// When an exchange with it last failed in another way, here or at another router. Counts
    /// only while it has not been seen since.
    pub unreached: Option<Instant>,
    /// A router reported it, or it did so itself: it is more than an announcement.
    pub seen: bool,
    /// It sends sightings, and so reads them.
    pub sends_sightings: bool,
    /// Requests in flight by backend server, from its own last message, and when that
    /// message was received.
    pub loads: Option<(Instant, Vec<ServerLoad>)>,
    /// Its tokens at the backend servers of `loads` with requests in flight, in the same order.
    pub tokens: Vec<ServerTokens>,
    /// Hashes of the names of services whose backend servers it does not reach, as it last said.
    pub cut_off: SmallVec<[u64; 2]>,
}

impl Peer {
    /// A router that was seen at `seen_at`.
    pub fn new(report: &WireObservation, seen_at: Instant, now: Instant) -> Peer {
        Peer {
            hash: hash_bytes(report.router.name.as_bytes()),
            router: report.router.clone(),
            ready: report.ready,
            leaving: report.leaving,
            last_seen: seen_at,
            changed: now,
            refused: None,
            unreached: None,
            seen: false,
            sends_sightings: false,
            loads: None,
            tokens: Vec::new(),
            cut_off: SmallVec::new(),
        }
    }

    /// Takes over a newer report on the same process; `limit` is that on silence.
    pub fn update(
        &mut self,
        ready: bool,
        leaving: bool,
        seen_at: Instant,
        limit: Duration,
        now: Instant,
    ) {
        // A process that is shutting down never becomes available again.
        let leaving = leaving || self.leaving;
        let is_same = (ready, leaving) == (self.ready, self.leaving);
        if !is_same || !self.is_alive(limit, now) {
            self.changed = now;
        }
        self.ready = ready;
        self.leaving = leaving;
        self.last_seen = seen_at;
        self.refused = None;
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
            (Ordering::Equal, ReportSource::Indirect | ReportSource::Announced) => {
                later && self.refused.is_none()
            }
            (Ordering::Equal, ReportSource::Direct)
            | (Ordering::Greater, ReportSource::Indirect | ReportSource::Announced) => later,
            (_, ReportSource::Direct) => seen_at >= self.last_seen,
            (Ordering::Less, ReportSource::Indirect | ReportSource::Announced) => {
                seen_at > self.last_seen + PEER_TIMEOUT
            }
        }
    }

    /// Notes that an exchange with its process failed at `at`.
    pub fn record_failure(&mut self, kind: FailureKind, at: Instant) {
        match kind {
            FailureKind::Refused => {
                self.refused.get_or_insert(at);
                self.loads = None;
            }
            FailureKind::Unreached => self.unreached = self.unreached.max(Some(at)),
        }
    }

    /// The last failure of an exchange with its process, if that was not seen since.
    pub fn failure(&self) -> Option<PeerFailure> {
        let unreached = self.unreached.filter(|at| *at > self.last_seen);
        let (kind, at) = match (self.refused, unreached) {
            (Some(at), _) => (FailureKind::Refused, at),
            (None, at) => (FailureKind::Unreached, at?),
        };
        Some(PeerFailure { router: self.hash, born: self.router.born, kind, at })
    }

    /// Whether it counts as alive at `now` in a fleet with the limit `limit` on silence. Where
    /// exchanges with it fail, less silence is enough.
    pub fn is_alive(&self, limit: Duration, now: Instant) -> bool {
        let is_unreached = self.unreached.is_some_and(|at| at > self.last_seen);
        let limit = if is_unreached { limit.min(PEER_TIMEOUT) } else { limit };
        self.refused.is_none() && now.saturating_duration_since(self.last_seen) < limit
    }

    /// Tells incarnations apart where there is little room.
    pub fn process(&self) -> u8 {
        self.router.born as u8
    }

    /// What other routers are told of it.
    pub fn sighting(&self, now: Instant) -> Sighting {
        Sighting {
            router: self.hash as u32,
            process: self.process(),
            age: now.saturating_duration_since(self.last_seen),
            ready: self.ready,
            leaving: self.leaving,
        }
    }
}

/// Where a report on a router comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReportSource {
    /// The router itself.
    Direct,
    /// Another router.
    Indirect,
    /// The platform's store.
    Announced,
}
