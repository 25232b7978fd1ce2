//! Leaving marks on their way between routers.
//!
//! All routers pass marks on along one tree, so that each sends a mark to few and
//! hears of it about once, whoever saw it first. Many marks at once, as when a
//! failure domain leaves, go as one bit for each backend server.

use std::collections::BTreeSet;
use std::time::Duration;

use xtra::prelude::*;

use crate::controllers::Publisher;
use crate::controllers::messages::{MarksAdded, OutgoingExchange};
use crate::decide::hash_bytes;
use crate::events::Code;
use crate::fleet::LeavingMark;
use crate::wire::{Gossip, Role, WireLeavingMark, WireLeavingMarkSet};

/// Marks told by name in one message.
const NAMED: usize = 4;
/// Marks told by name in one message when their names are not on the list.
const UNLISTED: usize = 16;

impl Publisher {
    /// Adds the fresh marks: few by name, many as a set.
    pub(super) fn add_marks(&self, message: &mut Gossip) {
        let now = self.now();
        let marks = &self.parts.marks;
        if marks.pending_count(now, |_| true) == 0 {
            return;
        }
        let names = self.server_names();
        let listed = |name: &str| names.contains(name);
        if marks.pending_count(now, listed) <= NAMED {
            let found = marks.pending(UNLISTED, now, |_| true);
            message.marks = found.into_iter().map(WireLeavingMark::from).collect();
            return;
        }
        message.mark_set = mark_set(&names, &marks.pending(usize::MAX, now, listed));
        let others = marks.pending(UNLISTED, now, |it| !listed(it));
        message.marks = others.into_iter().map(WireLeavingMark::from).collect();
    }

    /// Repeats marks in turn while a peer holds others: the messages that first
    /// told them may all have been lost, or have been about another list.
    pub(super) fn repeat_marks(&mut self, message: &mut Gossip) {
        if !self.marks_differ || message.has_marks() {
            return;
        }
        let marks = self.parts.marks.resend(&self.resent_mark, NAMED, self.now());
        if let Some(last) = marks.last() {
            self.resent_mark = last.name.clone();
        }
        message.marks = marks.into_iter().map(WireLeavingMark::from).collect();
    }

    /// Takes marks told by `peer`; true when any is news.
    pub(super) fn take_marks(
        &mut self,
        peer: &str,
        named: Vec<WireLeavingMark>,
        set: Option<WireLeavingMarkSet>,
    ) -> bool {
        let now = self.now();
        let mut marks: Vec<LeavingMark> = named.into_iter().map(LeavingMark::from).collect();
        marks.extend(set.iter().flat_map(|it| self.unpack(it)));
        let mut news = false;
        for mark in marks {
            if self.parts.marks.merge(&mark, now) {
                self.record(Code::MarkedLeaving, &mark.name, &format!("told by {peer}"));
                news = true;
            }
        }
        news
    }

    /// The marks of a set, unless it is about another list of backend servers. One
    /// that was started later than all marked ones has joined again.
    fn unpack(&self, set: &WireLeavingMarkSet) -> Vec<LeavingMark> {
        let names = self.server_names();
        if digest(&names) != set.names_digest {
            return Vec::new();
        }
        let remaining = Duration::from_millis(set.remaining_ms);
        let marked = names.iter().enumerate().filter(|(i, _)| bit(&set.bits, *i));
        let known = marked.map(|(_, name)| {
            let report = self.loads.get(hash_bytes(name.as_bytes()));
            (*name, report.map_or(0, |it| it.incarnation))
        });
        let known = known.filter(|it| it.1 <= set.max_incarnation || set.max_incarnation == 0);
        let mark = |(name, incarnation): (&str, u64)| {
            let incarnation = incarnation.min(set.max_incarnation);
            LeavingMark { name: name.to_owned(), incarnation, remaining }
        };
        known.map(mark).collect()
    }

    /// Names of all backend servers on the list, in order.
    fn server_names(&self) -> BTreeSet<&str> {
        let servers = self.instance_table.instances().filter(|it| it.role != Role::Entry);
        servers.map(|it| it.name.as_str()).collect()
    }

    /// Passes marks on down the tree; marks that no router told begin at its root.
    pub(super) fn spread_marks(&mut self, begin: bool) {
        let mut targets = self.tree_children(&self.parts.own.name);
        if begin {
            targets.extend(self.tree_root());
        }
        self.mark_targets = targets;
        self.wake_gossip.notify_one();
    }

    /// The exchange that passes marks on.
    pub(super) fn mark_round(&mut self) -> Option<OutgoingExchange> {
        while let Some(peer) = self.mark_targets.pop() {
            let addr = self.contacts().0.get(&peer).copied();
            if let Some(addr) = addr.filter(|_| !self.is_busy(&peer)) {
                let message = self.compose(&peer, true);
                if message.has_marks() {
                    return Some(OutgoingExchange { peer, addr, message, pull: false });
                }
            }
        }
        None
    }
}

impl Handler<MarksAdded> for Publisher {
    type Return = ();

    async fn handle(&mut self, _: MarksAdded, _: &mut Context<Self>) {
        self.publish();
        self.spread_marks(true);
    }
}

/// One bit for each of `names`, in their order; `None` without marks.
fn mark_set(names: &BTreeSet<&str>, marks: &[LeavingMark]) -> Option<WireLeavingMarkSet> {
    let marked: BTreeSet<&str> = marks.iter().map(|it| it.name.as_str()).collect();
    let mut bits = vec![0_u8; names.len().div_ceil(8)];
    for (i, _) in names.iter().enumerate().filter(|(_, it)| marked.contains(*it)) {
        bits[i / 8] |= 1 << (i % 8);
    }
    let remaining = marks.iter().map(|it| it.remaining).max()?;
    Some(WireLeavingMarkSet {
        names_digest: digest(names),
        max_incarnation: marks.iter().map(|it| it.incarnation).max()?,
        remaining_ms: remaining.as_millis() as u64,
        bits,
    })
}

fn digest(names: &BTreeSet<&str>) -> u64 {
    let text: Vec<u8> = names.iter().flat_map(|it| it.bytes().chain([0])).collect();
    hash_bytes(&text)
}

fn bit(bits: &[u8], index: usize) -> bool {
    bits.get(index / 8).is_some_and(|it| it & (1 << (index % 8)) != 0)
}

impl From<LeavingMark> for WireLeavingMark {
    fn from(it: LeavingMark) -> WireLeavingMark {
        let remaining_ms = it.remaining.as_millis() as u64;
        WireLeavingMark { name: it.name, incarnation: it.incarnation, remaining_ms }
    }
}

impl From<WireLeavingMark> for LeavingMark {
    fn from(it: WireLeavingMark) -> LeavingMark {
        let remaining = Duration::from_millis(it.remaining_ms);
        LeavingMark { name: it.name, incarnation: it.incarnation, remaining }
    }
}
