//! Membership of routers by gossip, with suspicion and self-refutation.
//!
//! After Das, Gupta and Motivala, "SWIM" (2002), without indirect probes: a router
//! that learns from others that it is suspected refutes it with a higher incarnation.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::wire::{MemberStatus, WireMember};

/// Time for a suspected router to refute the suspicion.
const SUSPECT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a dead router is remembered, so that old entries do not revive it.
const DEAD_RETENTION: Duration = Duration::from_secs(600);
/// Consecutive failed exchanges that raise a suspicion.
const SUSPECT_FAILURES: u32 = 2;
/// How many messages carry a change.
const SENDS: u32 = 6;

/// Another router as known here.
#[derive(Debug, Clone)]
struct Known {
    entry: WireMember,
    /// When its entry last changed.
    since: Instant,
    /// Messages that are still to carry the change.
    sends: u32,
    /// Consecutive failed exchanges.
    failures: u32,
}

/// All routers known by gossip, including this one.
#[derive(Debug)]
pub struct Members {
    own: WireMember,
    others: BTreeMap<String, Known>,
}

impl Members {
    /// Membership that knows only this router.
    pub fn new(own: WireMember) -> Members {
        Members { own, others: BTreeMap::new() }
    }

    /// The entry of this router.
    pub fn own(&self) -> &WireMember {
        &self.own
    }

    /// Marks this router as leaving: it takes no new callers from now on.
    pub fn leave(&mut self) {
        self.own.status = MemberStatus::Leaving;
    }

    /// Merges an entry received from a peer; true when it changed what is known.
    ///
    /// An entry replaces the known one when its incarnation is higher, or equal with
    /// a later status. An entry that suspects this router is refuted with a higher
    /// incarnation.
    pub fn merge(&mut self, entry: WireMember, now: Instant) -> bool {
        if entry.name == self.own.name {
            return self.refute(&entry);
        }
        let rank = |it: &WireMember| (it.incarnation, it.status);
        if self.others.get(&entry.name).is_some_and(|it| rank(&it.entry) >= rank(&entry)) {
            return false;
        }
        let known = Known { since: now, sends: SENDS, failures: 0, entry };
        self.others.insert(known.entry.name.clone(), known);
        true
    }

    /// Raises the own incarnation when `entry` suspects this router or has a higher
    /// incarnation; true when it did.
    fn refute(&mut self, entry: &WireMember) -> bool {
        let is_accused = matches!(entry.status, MemberStatus::Suspect | MemberStatus::Dead);
        let is_newer = entry.incarnation > self.own.incarnation;
        if is_newer || (is_accused && entry.incarnation == self.own.incarnation) {
            self.own.incarnation = entry.incarnation + 1;
            return true;
        }
        false
    }

    /// Records a successful exchange with `name`.
    pub fn record_success(&mut self, name: &str) {
        if let Some(it) = self.others.get_mut(name) {
            it.failures = 0;
        }
    }

    /// Records a failed exchange with `name`; true when that made it suspect, or
    /// dead if it was leaving.
    pub fn record_failure(&mut self, name: &str, now: Instant) -> bool {
        let Some(it) = self.others.get_mut(name) else {
            return false;
        };
        it.failures += 1;
        let is_alive = matches!(it.entry.status, MemberStatus::Alive);
        let is_leaving = it.entry.status == MemberStatus::Leaving;
        if it.failures < SUSPECT_FAILURES || !(is_alive || is_leaving) {
            return false;
        }
        it.entry.status = if is_leaving { MemberStatus::Dead } else { MemberStatus::Suspect };
        it.since = now;
        it.sends = SENDS;
        true
    }

    /// Declares suspects dead that did not refute the suspicion in time, and removes
    /// those dead for [`DEAD_RETENTION`]; returns the names of the newly dead.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        let mut dead = Vec::new();
        for (name, it) in &mut self.others {
            let age = now.saturating_duration_since(it.since);
            if it.entry.status == MemberStatus::Suspect && age >= SUSPECT_TIMEOUT {
                it.entry.status = MemberStatus::Dead;
                it.since = now;
                it.sends = SENDS;
                dead.push(name.clone());
            }
        }
        self.others.retain(|_, it| {
            let age = now.saturating_duration_since(it.since);
            it.entry.status != MemberStatus::Dead || age < DEAD_RETENTION
        });
        dead
    }

    /// The entry of the other router called `name`.
    pub fn get(&self, name: &str) -> Option<&WireMember> {
        self.others.get(name).map(|it| &it.entry)
    }

    /// All other routers that are not dead.
    pub fn others(&self) -> impl Iterator<Item = &WireMember> {
        self.others.values().map(|it| &it.entry).filter(|it| it.status != MemberStatus::Dead)
    }

    /// Entries to send to `peer`, at most `max`: first that of the peer itself when
    /// it is suspect or dead, so that it can refute that, then pending changes, the
    /// latest status first. Each change is counted as sent.
    pub fn entries_for(&mut self, peer: &str, max: usize) -> Vec<WireMember> {
        let mut entries = Vec::new();
        if let Some(it) = self.others.get(peer)
            && matches!(it.entry.status, MemberStatus::Suspect | MemberStatus::Dead)
        {
            entries.push(it.entry.clone());
        }
        let mut pending: Vec<&mut Known> =
            self.others.values_mut().filter(|it| it.sends > 0 && it.entry.name != peer).collect();
        pending.sort_by_key(|it| std::cmp::Reverse((it.entry.status, it.sends)));
        for it in pending.into_iter().take(max.saturating_sub(entries.len())) {
            it.sends -= 1;
            entries.push(it.entry.clone());
        }
        entries
    }
}
