//! Tests of the assignment of items to engines, of the next order for each engine, and of
//! the table of loaded models.

use filberttiller::decide::orders::{Holder, Item, LoadedItem, Step, assign, next_step};
use filberttiller::fleet::LoadedModels;
use filberttiller::wire::LoadReport;
use proptest::prelude::*;

const GROUP: u64 = 1;
const POOL: u64 = 2;
const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Rounds of orders after which every engine holds the items that it is to hold.
const ROUNDS: usize = 40;

#[derive(Debug, Clone)]
struct Engine {
    id: u64,
    domain: usize,
    leaving: bool,
    held: Vec<u64>,
}

fn item(key: u64, copies: usize, base: Option<u64>) -> Item {
    Item { key, group: GROUP, pool: POOL, copies, base }
}

fn holders(engines: &[Engine]) -> Vec<Holder<'_>> {
    let holder = |it: &'_ Engine| (it.id, it.domain, it.leaving);
    let all = engines.iter().map(|it| (holder(it), &it.held));
    all.map(|((id, domain, leaving), held)| Holder {
        id,
        pool: POOL,
        domain: DOMAINS[domain],
        leaving,
        held: Some(held),
    })
    .collect()
}

fn step(at: usize, items: &[Item], engines: &[Engine]) -> Option<Step> {
    let holders = holders(engines);
    let chosen = assign(items, &holders);
    let adapter = |key| items.iter().any(|it| it.key == key && it.base.is_some());
    let present: Vec<_> = engines[at]
        .held
        .iter()
        .map(|key| LoadedItem { key: *key, group: GROUP, adapter: adapter(*key) })
        .collect();
    next_step(at, items, &holders, &chosen, &present)
}

/// Carries out the next order for the engine at `at`; false when there is none.
fn run_order(at: usize, items: &[Item], engines: &mut [Engine]) -> bool {
    match step(at, items, engines) {
        None => return false,
        Some(Step::Load(key)) => engines[at].held.push(key),
        Some(Step::Unload { key, .. }) => engines[at].held.retain(|it| *it != key),
    }
    true
}

fn copies(engines: &[Engine], key: u64) -> usize {
    engines.iter().filter(|it| !it.leaving && it.held.contains(&key)).count()
}

/// Carries out all orders until none remains; returns their number.
fn settle(items: &[Item], engines: &mut [Engine]) -> usize {
    let mut orders = 0;
    for _ in 0..ROUNDS {
        orders += (0..engines.len()).filter(|at| run_order(*at, items, engines)).count();
    }
    orders
}

fn engine() -> impl Strategy<Value = Engine> {
    let held = prop::collection::btree_set(10..14u64, 0..4);
    (any::<u64>(), 0..3usize, prop::bool::weighted(0.2), held).prop_map(
        |(id, domain, leaving, held)| Engine {
            id,
            domain,
            leaving,
            held: held.into_iter().collect(),
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Whatever the engines hold at first and in whichever order they are served: no order
    /// removes the last copy of an item in force. In the end each item has all its copies,
    /// nothing else is held, and no order remains.
    #[test]
    fn next_step_converges_to_wanted(
        engines in prop::collection::vec(engine(), 1..8),
        served in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
        wanted in (1..4usize, 1..4usize),
    ) {
        let items = [item(10, wanted.0, None), item(11, wanted.1, Some(10))];
        let mut engines = engines;
        for it in served {
            let before = [10, 11].map(|key| copies(&engines, key));
            let at = it.index(engines.len());
            let was_leaving = engines[at].leaving;
            let had_order = run_order(at, &items, &mut engines);
            prop_assert!(!(had_order && was_leaving), "an order to a leaving engine");
            for (key, before) in [10, 11].into_iter().zip(before) {
                prop_assert!(before == 0 || copies(&engines, key) > 0, "the last copy is gone");
            }
        }
        settle(&items, &mut engines);
        let live: Vec<_> = engines.iter().filter(|it| !it.leaving).collect();
        prop_assert_eq!(copies(&engines, 10), wanted.0.min(live.len()));
        prop_assert_eq!(copies(&engines, 11), wanted.1.min(wanted.0).min(live.len()));
        prop_assert!(live.is_empty() || live.iter().all(|it| it.held.iter().all(|key| *key < 12)));
        prop_assert!(live.iter().all(|it| !it.held.contains(&11) || it.held.contains(&10)));
        prop_assert_eq!(settle(&items, &mut engines), 0);
    }

    /// Copies are spread over all failure domains, and when one engine leaves, no more items
    /// move than it held.
    #[test]
    fn assign_leaving_engine_moves_little(ids in prop::collection::btree_set(any::<u64>(), 7..12)) {
        let items: Vec<_> = (10..16).map(|key| item(key, 3, None)).collect();
        let engine = |(i, id)| Engine { id, domain: i % 3, leaving: false, held: Vec::new() };
        let mut engines: Vec<_> = ids.into_iter().enumerate().map(engine).collect();
        settle(&items, &mut engines);
        for it in &items {
            let domains = engines.iter().filter(|e| e.held.contains(&it.key)).map(|e| e.domain);
            prop_assert_eq!(domains.collect::<std::collections::BTreeSet<_>>().len(), 3);
        }
        let gone = engines.pop().map_or(0, |it| it.held.len());
        prop_assert_eq!(settle(&items, &mut engines), gone);
    }
}

/// Guards against loads that a peer never learns of because the messages that first
/// reported them were lost, also those of an engine that holds nothing.
#[test]
fn loaded_models_resend_lost_reports() {
    let mut sender = LoadedModels::default();
    for id in [0, 1, 7, u64::MAX] {
        assert!(sender.record_report(
            id,
            &LoadReport { incarnation: 1, ..LoadReport::default() },
            1
        ));
    }
    while !sender.pending(4).is_empty() {}
    let mut peer = LoadedModels::default();
    for _ in 0..2 {
        assert_ne!(peer.digest(), sender.digest());
        assert!(sender.resend(3).iter().filter(|it| peer.merge(it)).count() > 0);
    }
    assert_eq!(peer.digest(), sender.digest());
    assert!(peer.get(7, 1).is_some() && peer.get(u64::MAX, 1).is_some());
}
