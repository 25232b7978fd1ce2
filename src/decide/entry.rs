//! Which routers a caller should use.

use std::cmp::Ordering;

use crate::decide::weighted_score;

plain! {
    /// A router as callers may use it.
    pub struct EntryRouter<'a> {
        /// Hash of the name.
        pub id: u64,
        /// Failure domain.
        pub domain: &'a str,
        /// Whether it takes no new callers.
        pub leaving: bool,
    }
}

/// Indexes of the routers in the order in which a caller with `key` should try
/// them: rendezvous order, failure domains alternating, leaving ones left out.
pub fn entry_order(routers: &[EntryRouter<'_>], key: u64, max: usize) -> Vec<usize> {
    let score = |i: usize| weighted_score(key, routers[i].id, 1.0);
    let mut rest: Vec<usize> = (0..routers.len()).filter(|&i| !routers[i].leaving).collect();
    rest.sort_by(|&a, &b| score(b).partial_cmp(&score(a)).unwrap_or(Ordering::Equal));
    let mut order: Vec<usize> = Vec::with_capacity(max.min(rest.len()));
    while order.len() < max && !rest.is_empty() {
        let last = order.last().map(|&i: &usize| routers[i].domain);
        let next = rest.iter().position(|&i| Some(routers[i].domain) != last).unwrap_or(0);
        order.push(rest.remove(next));
    }
    order
}
