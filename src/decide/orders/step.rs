//! The next order for one engine.

use crate::decide::orders::{Assignment, Holder, Item, LoadedItem};

plain! {
    /// An order to an engine.
    pub enum Step {
        /// Load the item with this key.
        Load(u64),
        /// Unload an item.
        Unload {
            /// Key of the item.
            key: u64,
            /// Indexes of the engines that must hold the item before. Not empty while
            /// tickets in force require the item.
            required_holders: Vec<usize>,
        },
    }
}

/// Returns the next order for the engine with index `at`, which reports the items `present`.
///
/// Loads come before unloads. An item in force is unloaded only after all engines that are
/// to hold it do so; any other item of a model only after each item of that model which is
/// in force has all its copies.
pub fn next_step(
    at: usize,
    items: &[Item],
    holders: &[Holder<'_>],
    chosen: &Assignment,
    present: &[LoadedItem],
) -> Option<Step> {
    let own = &holders[at];
    if own.leaving || own.held.is_none() {
        return None;
    }
    let is_chosen = |key| chosen.get(&key).is_some_and(|it| it.contains(&at));
    let base_held =
        |it: &Item| it.base.is_none_or(|base| own.holds(base) || !is_managed(items, base));
    let missing = items.iter().filter(|it| is_chosen(it.key) && !own.holds(it.key));
    let load = missing.filter(|it| base_held(it)).min_by_key(|it| it.base.is_some());
    if let Some(it) = load {
        return Some(Step::Load(it.key));
    }
    let mut surplus: Vec<_> = present.iter().filter(|it| !is_chosen(it.key)).collect();
    surplus.sort_by_key(|it| (!it.adapter, it.key));
    surplus.into_iter().find_map(|it| unload(it, items, holders, chosen))
}

/// Whether tickets in force require the item with `key`.
fn is_managed(items: &[Item], key: u64) -> bool {
    items.iter().any(|it| it.key == key)
}

fn unload(
    it: &LoadedItem,
    items: &[Item],
    holders: &[Holder<'_>],
    chosen: &Assignment,
) -> Option<Step> {
    let complete = |item: &Item| {
        let engines = chosen.get(&item.key).map_or(&[][..], Vec::as_slice);
        !engines.is_empty() && engines.iter().all(|at| holders[*at].holds(item.key))
    };
    let mut needed = items.iter().filter(|item| item.group == it.group);
    if !needed.all(complete) {
        return None;
    }
    let required_holders = chosen.get(&it.key).cloned().unwrap_or_default();
    Some(Step::Unload { key: it.key, required_holders })
}
