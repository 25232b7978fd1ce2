//! Assignment of items to engines.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::decide::combine;
use crate::decide::orders::{Holder, Item};

/// Indexes of the engines that are to hold an item, by the item's key.
pub type Assignment = HashMap<u64, Vec<usize>>;

/// Chooses the engines for each item.
///
/// Each copy goes to an engine of the failure domain with the fewest copies so far. Among
/// these engines, one that already holds the item is preferred, so that few items move
/// when engines join or leave; then rendezvous hashing decides (Thaler and Ravishankar
/// 1998). An adapter goes only where its model version goes, if that is among `items`.
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
    let mut remaining: Vec<usize> = (0..holders.len()).filter(open).collect();
    let mut chosen: Vec<usize> = Vec::new();
    while chosen.len() < item.copies {
        let copies = |domain| chosen.iter().filter(|it| holders[**it].domain == domain).count();
        let best = remaining.iter().copied().min_by_key(|at| {
            let it = &holders[*at];
            (copies(it.domain), !it.holds(item.key), Reverse(combine(item.key, it.id)))
        });
        let Some(best) = best else {
            break;
        };
        remaining.retain(|it| *it != best);
        chosen.push(best);
    }
    chosen
}
