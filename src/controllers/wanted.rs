//! Models and adapters that the tickets in force require engines to hold.

use std::collections::BTreeMap;

use crate::decide::hash_bytes;
use crate::decide::orders::{Item, LoadedItem};
use crate::state::{InForce, Kind};
use crate::wire::ModelRef;

/// Models and adapters that the tickets in force require engines to hold.
#[derive(Debug, Default)]
pub(crate) struct Wanted {
    /// All items, each once.
    pub(crate) items: Vec<Item>,
    /// Model, version and adapter of each item, by its key.
    pub(crate) names: BTreeMap<u64, ModelRef>,
}

impl Wanted {
    /// Lists the items; a pure function of the state in force, so that routers with
    /// the same state agree.
    pub(crate) fn new(state: &InForce) -> Wanted {
        let mut wanted = Wanted::default();
        for (name, spec) in state.models() {
            let Some(copies) = spec.copies else { continue };
            let pool = hash_bytes(spec.pool.as_bytes());
            for version in versions(state, name, &spec.version, &spec.versions) {
                let it = loaded_item(name, version, "");
                wanted.add(it, |key, group| Item { key, group, pool, copies, base: None });
            }
        }
        for (name, spec) in state.adapters() {
            let (Some(copies), Some(model)) = (spec.copies, state.model(&spec.model)) else {
                continue;
            };
            let pool = hash_bytes(model.pool.as_bytes());
            let base = loaded_item(&spec.model, &model.version, "");
            let base = model.copies.map(|_| item_key(&base));
            for version in versions(state, name, &spec.version, &spec.versions) {
                let it = loaded_item(&spec.model, version, name);
                wanted.add(it, |key, group| Item { key, group, pool, copies, base });
            }
        }
        wanted
    }

    fn add(&mut self, it: ModelRef, item: impl Fn(u64, u64) -> Item) {
        let item = item(item_key(&it), hash_bytes(it.model.as_bytes()));
        if self.names.insert(item.key, it).is_none() {
            self.items.push(item);
        }
    }
}

/// Hash of the name by which requests address exactly this version.
pub(crate) fn item_key(it: &ModelRef) -> u64 {
    hash_bytes(it.full_name().as_bytes())
}

fn loaded_item(model: &str, version: &str, adapter: &str) -> ModelRef {
    ModelRef { model: model.to_owned(), version: version.to_owned(), adapter: adapter.to_owned() }
}

/// The version in force, further versions of the object, and those that experiments
/// refer to.
fn versions<'a>(
    state: &'a InForce,
    name: &'a str,
    in_force: &'a str,
    further: &'a [String],
) -> impl Iterator<Item = &'a str> {
    let targets = state.experiments().filter_map(|it| it.1.target.split_once('@'));
    let targets = targets.filter(move |it| it.0 == name).map(|it| it.1);
    [in_force].into_iter().chain(further.iter().map(String::as_str)).chain(targets)
}

/// The loaded item `it` of an engine's report, if tickets decide about it: if it is a
/// model or adapter with ordered copies, or one that a ticket removed.
pub(crate) fn decided_item(state: &InForce, it: &ModelRef) -> Option<LoadedItem> {
    let adapter = !it.adapter.is_empty();
    let (kind, name) = match adapter {
        true => (Kind::Adapter, &it.adapter),
        false => (Kind::Model, &it.model),
    };
    let removed = state.objects.get(kind, name).is_some_and(|it| it.spec.is_none());
    let group = hash_bytes(it.model.as_bytes());
    let decided = removed || state.is_ordered(name);
    decided.then(|| LoadedItem { key: item_key(it), group, adapter })
}
