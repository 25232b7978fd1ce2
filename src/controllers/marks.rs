//! Exchange of leaving marks between routers.
//!
//! All routers pass marks on along one tree, so that each sends a mark to few others
//! and receives it about once, whichever router saw it first. Many marks at once, as
//! when a failure domain leaves, are sent as one bit for each backend server.

use std::collections::BTreeSet;
use std::time::Duration;

use xtra::prelude::*;

use crate::controllers::Publisher;
use crate::controllers::messages::{MarksAdded, OutgoingExchange};
use crate::decide::hash_bytes;
use crate::events::Code;
use crate::fleet::LeavingMark;
use crate::wire::{Gossip, Role, WireLeavingMark, WireLeavingMarkSet};

/// Maximum number of marks sent by name in one message.
const MAX_NAMED_MARKS: usize = 4;
/// Maximum number of marks sent by name in one message when the names are not on the
/// instance list, so that no bit set can carry them.
const MAX_UNLISTED_MARKS: usize = 16;

impl Publisher {
    /// Adds the pending marks: a few by name, many as a bit set.
    pub(super) fn add_marks(&self, message: &mut Gossip) {
        let now = self.now();
        let marks = &self.parts.marks;
        if marks.pending_count(now, |_| true) == 0 {
            return;
        }
        let names = self.server_names();
        let listed = |name: &str| names.contains(name);
        if marks.pending_count(now, listed) <= MAX_NAMED_MARKS {
            let found = marks.pending(MAX_UNLISTED_MARKS, now, |_| true);
            message.marks = found.into_iter().map(WireLeavingMark::from).collect();
            return;
        }
        message.mark_set = mark_set(&names, &marks.pending(usize::MAX, now, listed));
        let others = marks.pending(MAX_UNLISTED_MARKS, now, |it| !listed(it));
        message.marks = others.into_iter().map(WireLeavingMark::from).collect();
    }

    /// Resends marks in rotation while a peer has other marks: the messages that first
    /// carried them may all have been lost, or have referred to another instance list.
    pub(super) fn resend_marks(&mut self, message: &mut Gossip) {
        if !self.marks_differ || message.has_marks() {
            return;
        }
        let marks = self.parts.marks.resend(&self.resent_mark, MAX_NAMED_MARKS, self.now());
        if let Some(last) = marks.last() {
            self.resent_mark = last.name.clone();
        }
        message.marks = marks.into_iter().map(WireLeavingMark::from).collect();
    }

    /// Merges marks received from `peer`; true when any changed something.
    pub(super) fn merge_marks(
        &mut self,
        peer: &str,
        named: Vec<WireLeavingMark>,
        set: Option<WireLeavingMarkSet>,
    ) -> bool {
        let now = self.now();
        let mut marks: Vec<LeavingMark> = named.into_iter().map(LeavingMark::from).collect();
        marks.extend(set.iter().flat_map(|it| self.marks_of_set(it)));
        let mut changed = false;
        for mark in marks {
            if self.parts.marks.merge(&mark, now) {
                self.record(Code::MarkedLeaving, &mark.name, &format!("received from {peer}"));
                changed = true;
            }
        }
        changed
    }

    /// The marks of `set`; none when it refers to another list of backend servers. A
    /// server with a later incarnation than any marked one has restarted and joined
    /// again, so it gets no mark.
    fn marks_of_set(&self, set: &WireLeavingMarkSet) -> Vec<LeavingMark> {
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

    /// Names of all backend servers on the instance list, in order.
    fn server_names(&self) -> BTreeSet<&str> {
        let servers = self.instance_table.instances().filter(|it| it.role != Role::Entry);
        servers.map(|it| it.name.as_str()).collect()
    }

    /// Passes marks on to this router's children in the tree. With `from_root`, as for
    /// marks that came from no other router, the root gets them too.
    pub(super) fn spread_marks(&mut self, from_root: bool) {
        let mut targets = self.mark_children(&self.parts.own.name);
        if from_root {
            targets.extend(self.mark_root());
        }
        self.mark_targets = targets;
        self.wake_gossip.notify_one();
    }

    /// The next exchange that passes marks on.
    pub(super) fn next_mark_exchange(&mut self) -> Option<OutgoingExchange> {
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

/// A set with one bit for each of `names`, in their order; `None` without marks.
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
