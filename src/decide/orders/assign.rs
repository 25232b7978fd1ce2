//! Which engines are to hold what.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::decide::combine;
use crate::decide::orders::{Holder, Item};

/// Engines by the key of the item that they are to hold, as indexes.
pub type Assignment = HashMap<u64, Vec<usize>>;

/// Chooses the engines for each item.
///
/// Each choice takes an engine of the failure domain with the fewest copies so
/// far; among these one that holds the item already, so that engines which come
/// and go move little; then by rendezvous hashing (Thaler and Ravishankar 1998).
/// An adapter goes only where its model version goes, if that is among `items`.
pub fn assign(items: &[Item], holders: &[Holder<'_>]) -> Assignment {
    let mut chosen = Assignment::new();
    let (models, adapters): (Vec<_>, Vec<_>) = items.iter().partition(|it| it.base.is_none());
    for it in models.into_iter().chain(adapters) {
        let found = choose(it, holders, it.base.and_then(|base| chosen.get(&base)));
        chosen.insert(it.key, found);
    }
    chosen
}

fn choose(item: &Item, holders: &[Holder<'_>], among: Option<&Vec<usize>>) -> Vec<usize> {
    let open = |at: &usize| {
        let it = &holders[*at];
        it.pool == item.pool && !it.leaving && among.is_none_or(|among| among.contains(at))
    };
    let mut left: Vec<usize> = (0..holders.len()).filter(open).collect();
    let mut chosen: Vec<usize> = Vec::new();
    while chosen.len() < item.copies {
        let copies = |domain| chosen.iter().filter(|it| holders[**it].domain == domain).count();
        let best = left.iter().copied().min_by_key(|at| {
            let it = &holders[*at];
            (copies(it.domain), !it.holds(item.key), Reverse(combine(item.key, it.id)))
        });
        let Some(best) = best else {
            break;
        };
        left.retain(|it| *it != best);
        chosen.push(best);
    }
    chosen
}
