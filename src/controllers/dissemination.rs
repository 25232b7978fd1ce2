//! The order in which routers pass new records on.

use std::cmp::Reverse;

use crate::controllers::Publisher;
use crate::controllers::publisher::{TAIL_KEY, TAILERS};
use crate::decide::{combine, hash_bytes};

/// What the order of the tree for leaving marks is hashed with.
const MARK_KEY: &[u8] = b"leaving marks";
/// Routers to which each passes new records and marks on.
const BRANCHES: usize = 3;
/// Records that go one way before the order changes.
const TURN: u64 = 256;

impl Publisher {
    /// Passes on the records from offset `from` on, down the tree of routers.
    pub(super) fn spread_records(&mut self, from: u64) {
        if self.record_targets.is_empty() {
            self.pending_from = from;
        }
        self.record_targets = self.children_of(&self.parts.own.name);
        self.wake_gossip.notify_one();
    }

    /// All live routers in the order of the tree that leaving marks take, which is
    /// the same for all marks: who hears of a mark first passes it on, so that a
    /// mark that reached the root reaches all.
    fn tree(&self) -> Vec<String> {
        let key = hash_bytes(MARK_KEY);
        let view = self.parts.cell.peek();
        let own = &self.parts.own.name;
        let live = view.routers.iter().filter(|it| !it.leaving || it.name == *own);
        let mut order: Vec<_> = live.map(|it| (combine(key, it.id), it.name.clone())).collect();
        order.sort_unstable();
        order.into_iter().map(|it| it.1).collect()
    }

    /// Routers to which the one called `name` passes leaving marks on.
    pub(super) fn tree_children(&self, name: &str) -> Vec<String> {
        let order = self.tree();
        let Some(place) = order.iter().position(|it| it == name) else {
            return Vec::new();
        };
        let children = order.into_iter().skip(place * BRANCHES + 1).take(BRANCHES);
        children.filter(|it| *it != self.parts.own.name).collect()
    }

    /// The router at the root of the tree, unless it is this one.
    pub(super) fn tree_root(&self) -> Option<String> {
        self.tree().into_iter().next().filter(|it| *it != self.parts.own.name)
    }

    /// Routers to which the one called `name` passes the newest records on.
    ///
    /// All live routers stand in one order: those that follow the log first, then
    /// the others in an order that changes every [`TURN`] records, so that all take
    /// their turn at the inner places and a storm keeps one way. The order is that of a forest with a root for each
    /// follower. Where lists differ, the regular exchanges bring what is missed.
    pub(super) fn children_of(&self, name: &str) -> Vec<String> {
        let view = self.parts.cell.peek();
        let tail = hash_bytes(TAIL_KEY);
        let live = view.routers.iter().filter(|it| !it.leaving || it.name == self.parts.own.name);
        let mut order: Vec<_> = live.map(|it| (Reverse(combine(tail, it.id)), it)).collect();
        order.sort_by_key(|it| it.0);
        let roots = TAILERS.min(order.len());
        let turn = hash_bytes(&(self.state.next / TURN).to_le_bytes());
        order[roots..].sort_by_key(|it| combine(turn, it.1.id));
        let Some(place) = order.iter().position(|it| it.1.name == name) else {
            return Vec::new();
        };
        let first = TAILERS + place * BRANCHES;
        let children = order.iter().skip(first).take(BRANCHES).map(|it| it.1.name.clone());
        children.filter(|it| *it != self.parts.own.name).collect()
    }
}
