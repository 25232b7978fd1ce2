//! Models and adapters that engines are to hold, with the engines that hold them.

use crate::controllers::wanted::Wanted;
use crate::fleet::{Pool, View};
use crate::wire::WireWantedItem;

/// All items that tickets in force require engines to hold, ordered by name.
pub fn wanted_items(view: &View) -> Vec<WireWantedItem> {
    let wanted = Wanted::new(&view.state);
    let mut items: Vec<_> = wanted
        .items
        .iter()
        .filter_map(|it| {
            let what = wanted.names.get(&it.key)?;
            let pool = view.state.model(&what.model)?.pool.clone();
            let held = view.pools.get(&pool).map(|pool| holders(pool, it.key));
            let held = held.unwrap_or_default();
            Some(WireWantedItem { name: what.full_name(), pool, wanted: it.copies, held })
        })
        .collect();
    items.sort_by(|a, b| a.name.cmp(&b.name));
    items
}

/// Names of the engines of `pool` that hold the item with `key` and are not leaving.
fn holders(pool: &Pool, key: u64) -> Vec<String> {
    let both = pool.engines.iter().zip(&pool.servers).zip(&pool.loaded);
    both.filter(|((engine, _), held)| {
        !engine.leaving && held.as_ref().is_some_and(|it| it.binary_search(&key).is_ok())
    })
    .map(|((_, server), _)| server.name.clone())
    .collect()
}
