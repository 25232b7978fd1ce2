//! The order in which routers pass new records on.

use std::cmp::Reverse;

use crate::controllers::Publisher;
use crate::controllers::publisher::{TAIL_KEY, TAILERS};
use crate::decide::{combine, hash_bytes};

/// Routers to which each passes new records on.
const BRANCHES: usize = 3;

impl Publisher {
    /// Passes on the records from offset `from` on, down the tree of routers.
    pub(super) fn spread_records(&mut self, from: u64) {
        self.fresh_from = from;
        self.branches = self.children_of(&self.parts.own.name);
        self.news.notify_one();
    }

    /// Routers to which the one called `name` passes the newest records on.
    ///
    /// All live routers stand in one order: those that follow the log first, then
    /// the others in an order that changes with the offset, so that all take their
    /// turn at the inner places. The order is that of a forest with a root for each
    /// follower. Where lists differ, the regular exchanges bring what is missed.
    pub(super) fn children_of(&self, name: &str) -> Vec<String> {
        let view = self.parts.cell.peek();
        let tail = hash_bytes(TAIL_KEY);
        let live = view.routers.iter().filter(|it| !it.leaving || it.name == self.parts.own.name);
        let mut order: Vec<_> = live.map(|it| (Reverse(combine(tail, it.id)), it)).collect();
        order.sort_by_key(|it| it.0);
        let roots = TAILERS.min(order.len());
        let turn = hash_bytes(&self.state.next.to_le_bytes());
        order[roots..].sort_by_key(|it| combine(turn, it.1.id));
        let Some(place) = order.iter().position(|it| it.1.name == name) else {
            return Vec::new();
        };
        let first = TAILERS + place * BRANCHES;
        let children = order.iter().skip(first).take(BRANCHES).map(|it| it.1.name.clone());
        children.filter(|it| *it != self.parts.own.name).collect()
    }
}
