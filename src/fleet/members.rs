//! Membership of routers by gossip, with suspicion and self-refutation.
//!
//! After Das, Gupta and Motivala, "SWIM" (2002), without indirect probes: a
//! suspected router hears of it from others and objects with a higher incarnation.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::wire::{MemberStatus, WireMember};

/// Time for a suspected router to object.
const SUSPECT_TIME: Duration = Duration::from_secs(5);
/// How long a dead router is remembered, so that old rows do not revive it.
const DEAD_TIME: Duration = Duration::from_secs(600);
/// Failed exchanges in a row that raise a suspicion.
const FAILURES: u32 = 2;
/// Times that a change is passed on.
const SENDS: u32 = 6;

/// One router as known here.
#[derive(Debug, Clone)]
struct Known {
    row: WireMember,
    since: Instant,
    sends: u32,
    failures: u32,
}

/// All routers known by gossip, this one among them.
#[derive(Debug)]
pub struct Members {
    own: WireMember,
    own_sends: u32,
    others: BTreeMap<String, Known>,
}

impl Members {
    /// Only this router.
    pub fn new(own: WireMember) -> Members {
        Members { own, own_sends: SENDS, others: BTreeMap::new() }
    }

    /// The row of this router.
    pub fn own(&self) -> &WireMember {
        &self.own
    }

    /// This router takes no new callers from now on.
    pub fn leave(&mut self) {
        self.own.status = MemberStatus::Leaving;
        self.own_sends = SENDS;
    }

    /// Takes a row; true when it changed what is known.
    ///
    /// A row holds when its incarnation is higher, or equal with a later status.
    /// A row against this router is answered with a higher incarnation.
    pub fn merge(&mut self, row: WireMember, now: Instant) -> bool {
        if row.name == self.own.name {
            return self.refute(&row);
        }
        let rank = |it: &WireMember| (it.incarnation, it.status);
        if self.others.get(&row.name).is_some_and(|it| rank(&it.row) >= rank(&row)) {
            return false;
        }
        let known = Known { since: now, sends: SENDS, failures: 0, row };
        self.others.insert(known.row.name.clone(), known);
        true
    }

    /// True when the row forced this router to object.
    fn refute(&mut self, row: &WireMember) -> bool {
        let accused = matches!(row.status, MemberStatus::Suspect | MemberStatus::Dead);
        let older = row.incarnation > self.own.incarnation;
        if older || (accused && row.incarnation == self.own.incarnation) {
            self.own.incarnation = row.incarnation + 1;
            self.own_sends = SENDS;
            return true;
        }
        false
    }

    /// An exchange with `name` went well.
    pub fn record_success(&mut self, name: &str) {
        if let Some(it) = self.others.get_mut(name) {
            it.failures = 0;
        }
    }

    /// An exchange with `name` failed; true when that raised a suspicion.
    pub fn record_failure(&mut self, name: &str, now: Instant) -> bool {
        let Some(it) = self.others.get_mut(name) else {
            return false;
        };
        it.failures += 1;
        let trusted = matches!(it.row.status, MemberStatus::Alive);
        let gone = it.row.status == MemberStatus::Leaving;
        if it.failures < FAILURES || !(trusted || gone) {
            return false;
        }
        it.row.status = if gone { MemberStatus::Dead } else { MemberStatus::Suspect };
        it.since = now;
        it.sends = SENDS;
        true
    }

    /// Declares those dead who did not object in time, and forgets the long dead;
    /// returns the names of the newly dead.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        let mut dead = Vec::new();
        for (name, it) in &mut self.others {
            let age = now.saturating_duration_since(it.since);
            if it.row.status == MemberStatus::Suspect && age >= SUSPECT_TIME {
                it.row.status = MemberStatus::Dead;
                it.since = now;
                it.sends = SENDS;
                dead.push(name.clone());
            }
        }
        self.others.retain(|_, it| {
            let age = now.saturating_duration_since(it.since);
            it.row.status != MemberStatus::Dead || age < DEAD_TIME
        });
        dead
    }

    /// What is known of the router called `name`.
    pub fn get(&self, name: &str) -> Option<&WireMember> {
        self.others.get(name).map(|it| &it.row)
    }

    /// All other routers that are not dead.
    pub fn others(&self) -> impl Iterator<Item = &WireMember> {
        self.others.values().map(|it| &it.row).filter(|it| it.status != MemberStatus::Dead)
    }

    /// Rows to pass on to `peer`, at most `most`: what is thought of the peer
    /// itself when that is bad, then fresh changes, the worst news first.
    pub fn entries_for(&mut self, peer: &str, most: usize) -> Vec<WireMember> {
        let mut rows = Vec::new();
        if let Some(it) = self.others.get(peer)
            && matches!(it.row.status, MemberStatus::Suspect | MemberStatus::Dead)
        {
            rows.push(it.row.clone());
        }
        let mut fresh: Vec<&mut Known> =
            self.others.values_mut().filter(|it| it.sends > 0 && it.row.name != peer).collect();
        fresh.sort_by_key(|it| std::cmp::Reverse((it.row.status, it.sends)));
        for it in fresh.into_iter().take(most.saturating_sub(rows.len())) {
            it.sends -= 1;
            rows.push(it.row.clone());
        }
        rows
    }
}
