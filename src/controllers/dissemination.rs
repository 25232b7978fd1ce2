//! Trees of routers along which new ticket records and leaving marks are passed on.

use std::cmp::Reverse;

use crate::controllers::Publisher;
use crate::controllers::publisher::{FOLLOWER_KEY, LOG_FOLLOWERS};
use crate::decide::{combine, hash_bytes};

/// Hash key that fixes the order of routers in the tree for leaving marks.
const MARK_TREE_KEY: &[u8] = b"leaving marks";
/// Routers to which each router passes new records and marks on.
const FAN_OUT: usize = 3;
/// Number of records that take the same tree before its order changes.
const RECORDS_PER_ORDER: u64 = 256;

impl Publisher {
    /// Passes the records from offset `from` on to this router's children in the tree.
    pub(super) fn spread_records(&mut self, from: u64) {
        if self.record_targets.is_empty() {
            self.pending_from = from;
        }
        self.record_targets = self.record_children(&self.parts.own.name);
        self.wake_gossip.notify_one();
    }

    /// All live routers in the order of the tree for leaving marks. The order is the
    /// same for all marks: whoever receives a mark for the first time passes it on, so
    /// a mark that has reached the root reaches every router.
    fn mark_tree(&self) -> Vec<String> {
        let key = hash_bytes(MARK_TREE_KEY);
        let view = self.parts.cell.peek();
        let own = &self.parts.own.name;
        let live = view.routers.iter().filter(|it| !it.leaving || it.name == *own);
        let mut order: Vec<_> = live.map(|it| (combine(key, it.id), it.name.clone())).collect();
        order.sort_unstable();
        order.into_iter().map(|it| it.1).collect()
    }

    /// Routers to which the router `name` passes leaving marks on.
    pub(super) fn mark_children(&self, name: &str) -> Vec<String> {
        let order = self.mark_tree();
        let Some(index) = order.iter().position(|it| it == name) else {
            return Vec::new();
        };
        let children = order.into_iter().skip(index * FAN_OUT + 1).take(FAN_OUT);
        children.filter(|it| *it != self.parts.own.name).collect()
    }

    /// The router at the root of the tree, unless it is this one.
    pub(super) fn mark_root(&self) -> Option<String> {
        self.mark_tree().into_iter().next().filter(|it| *it != self.parts.own.name)
    }

    /// Routers to which the router `name` passes the newest records on.
    ///
    /// Each router that follows the log is the root of a tree. All live routers are in
    /// one order: the followers first, then the others in an order that changes every
    /// [`RECORDS_PER_ORDER`] records. So the load of the inner positions is shared over
    /// time, while a burst of records takes one path. Where routers have different
    /// lists of instances, regular exchanges deliver the records that were missed.
    pub(super) fn record_children(&self, name: &str) -> Vec<String> {
        let view = self.parts.cell.peek();
        let follower_key = hash_bytes(FOLLOWER_KEY);
        let live = view.routers.iter().filter(|it| !it.leaving || it.name == self.parts.own.name);
        let mut order: Vec<_> =
            live.map(|it| (Reverse(combine(follower_key, it.id)), it)).collect();
        order.sort_by_key(|it| it.0);
        let roots = LOG_FOLLOWERS.min(order.len());
        let period = hash_bytes(&(self.state.next / RECORDS_PER_ORDER).to_le_bytes());
        order[roots..].sort_by_key(|it| combine(period, it.1.id));
        let Some(index) = order.iter().position(|it| it.1.name == name) else {
            return Vec::new();
        };
        let first = LOG_FOLLOWERS + index * FAN_OUT;
        let children = order.iter().skip(first).take(FAN_OUT).map(|it| it.1.name.clone());
        children.filter(|it| *it != self.parts.own.name).collect()
    }
}
