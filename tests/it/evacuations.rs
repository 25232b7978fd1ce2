//! Evacuated failure domains: what a router knows of them, and the servers that take no work then.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filberttiller::rules::{EvacuatedDomains, EvacuationChange, EvacuationMerge, Evacuations};
use filberttiller::servers::{Position, ServerRecord, ServerState, ServerTable, StoreEra};
use rstest::rstest;

use crate::server_records::{apply, gone, put, ready, record};

fn at(era: u64, offset: u64) -> Position {
    Position { era: StoreEra::Number(era), offset }
}

fn change(domain: &str, is_evacuated: bool) -> EvacuationChange {
    EvacuationChange { domain: domain.to_owned(), is_evacuated }
}

fn names(domains: &[&str]) -> BTreeSet<String> {
    domains.iter().map(|it| (*it).to_owned()).collect()
}

fn told(domains: &[&str], position: Position) -> Option<EvacuatedDomains> {
    Some(EvacuatedDomains { names: names(domains), position })
}

/// A router that read of the evacuation of `a` up to offset 5 of the store's first era.
fn knowing_a(now: Instant) -> Evacuations {
    let mut it = Evacuations::default();
    assert!(it.apply(&[change("a", true)], at(1, 5), true, now));
    it
}

/// Guards against a domain that stays evacuated, or is taken back, through a read that lags or
/// lists less than all.
#[rstest]
#[case::another(&[change("b", true)], at(1, 6), false, &["a", "b"])]
#[case::taken_back(&[change("a", false)], at(1, 6), false, &[])]
#[case::evacuated_again(&[change("a", false), change("a", true)], at(1, 7), false, &["a"])]
#[case::rules_alone(&[], at(1, 6), false, &["a"])]
#[case::all_without_it(&[], at(1, 6), true, &[])]
#[case::lagging(&[change("a", false)], at(1, 4), false, &["a"])]
#[case::lagging_all(&[], at(1, 4), true, &["a"])]
#[case::copy_that_lacks_it(&[change("b", true)], at(2, 2), true, &["a", "b"])]
#[case::taken_back_after_restoration(&[change("a", false)], at(2, 3), false, &[])]
#[case::answer_of_former_era(&[], at(0, 9), true, &["a"])]
fn apply_records(
    #[case] changes: &[EvacuationChange],
    #[case] next: Position,
    #[case] is_complete: bool,
    #[case] expected: &[&str],
) {
    let now = Instant::now();
    let mut it = knowing_a(now);
    let has_changed = it.apply(changes, next, is_complete, now);
    assert_eq!(it.domains(), &names(expected));
    assert_eq!(has_changed, expected != ["a"]);
}

/// Guards against a router that follows another one: it must take in what is newer and nothing
/// that is older, and not rely on a router that knows less.
#[rstest]
#[case::newer(told(&["b"], at(1, 6)), EvacuationMerge::TakenIn, &["b"])]
#[case::newer_none(told(&[], at(1, 6)), EvacuationMerge::TakenIn, &[])]
#[case::later_era(told(&["b"], at(2, 1)), EvacuationMerge::TakenIn, &["b"])]
#[case::same(told(&["a"], at(1, 5)), EvacuationMerge::Known, &["a"])]
#[case::older(told(&[], at(1, 4)), EvacuationMerge::Outdated, &["a"])]
#[case::earlier_era(told(&[], at(0, 9)), EvacuationMerge::Outdated, &["a"])]
#[case::era_not_told(told(&[], Position { era: StoreEra::Unnamed, offset: 9 }), EvacuationMerge::Outdated, &["a"])]
#[case::nothing(None, EvacuationMerge::Outdated, &["a"])]
fn merge_told(
    #[case] told: Option<EvacuatedDomains>,
    #[case] merge: EvacuationMerge,
    #[case] expected: &[&str],
) {
    let now = Instant::now();
    let mut it = knowing_a(now);
    assert_eq!(it.merge(told, now), merge);
    assert_eq!(it.domains(), &names(expected));
}

/// Guards against messages that grow where nothing is evacuated, and against routers that never
/// hear that a domain was taken back.
#[test]
fn told_while_evacuated_and_shortly_after() {
    let now = Instant::now();
    let mut it = Evacuations::default();
    it.apply(&[], at(1, 3), true, now);
    assert_eq!(it.told(now), None);
    assert_eq!(it.merge(None, now), EvacuationMerge::Known);
    it.apply(&[change("a", true)], at(1, 4), false, now);
    let later = now + Duration::from_secs(60);
    assert_eq!(it.told(later), told(&["a"], at(1, 4)).as_ref());
    it.apply(&[change("a", false)], at(1, 5), false, later);
    assert_eq!(it.told(later), told(&[], at(1, 5)).as_ref());
    assert_eq!(it.told(later + Duration::from_secs(60)), None);
}

fn in_domain(domain: &str, record: ServerRecord) -> ServerRecord {
    ServerRecord { domain: domain.to_owned(), ..record }
}

/// Servers of `s` that get requests.
fn usable(table: &ServerTable) -> Vec<String> {
    let servers = table.of_service("s");
    let mut ids: Vec<String> =
        servers.iter().flat_map(|it| it.iter()).map(|it| it.id.to_string()).collect();
    ids.sort();
    ids
}

/// Guards against requests to servers of an evacuated domain that join or restart there, and
/// against servers that are lost, or their state, when it is taken back.
#[test]
fn table_without_evacuated_servers() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    let records =
        vec![put("x", in_domain("a", ready(1, 1))), put("y", in_domain("b", ready(1, 1)))];
    apply(&mut table, records, true, now);
    let former = table.all().find(|it| &*it.id == "x").unwrap().clone();
    table.set_evacuated(&names(&["a"]));
    assert_eq!(usable(&table), ["y"]);
    assert_eq!((table.all().count(), table.evacuated_count()), (2, 1));
    let joined = vec![put("z", in_domain("a", ready(1, 1))), put("x", in_domain("a", ready(1, 2)))];
    apply(&mut table, joined, false, now);
    assert_eq!(usable(&table), ["y"]);
    assert!(!table.is_evacuated("s"));
    let left = in_domain("b", record(1, 2, ServerState::Leaving));
    apply(&mut table, vec![put("y", left)], false, now);
    assert!(table.is_evacuated("s"), "no other domain has servers that take work");
    assert_eq!(table.evacuated_services().collect::<Vec<_>>(), ["s"]);
    table.set_evacuated(&names(&[]));
    assert_eq!(usable(&table), ["x", "z"]);
    let same = table.all().any(|it| Arc::ptr_eq(it, &former));
    assert!(same, "the loads of its requests are kept");
    apply(&mut table, vec![gone("x"), gone("z")], false, now);
    assert!(!table.is_evacuated("s"), "a service without servers is no evacuated one");
}
