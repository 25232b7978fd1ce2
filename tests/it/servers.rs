//! The table of backend servers: joins, leaves, incarnations, outages of the store, load
//! and reachability.

use std::time::{Duration, Instant};

use filberttiller::decide::{RequestTokens, Results};
use filberttiller::servers::{
    Change, Effect, Page, Position, ServerRecord, ServerState, ServerTable, TableRevision,
};
use filberttiller::wire::{WirePosition, WireServer};
use rstest::rstest;

use crate::server_records::{apply, gone, ids, put, ready, record, unreadable};

#[test]
fn apply_join_leave_gone() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(1, 1)), put("b", ready(1, 1))], true, now);
    assert_eq!(ids(&table), ["a", "b"]);
    let leaving = record(1, 2, ServerState::Leaving);
    let effects = apply(&mut table, vec![put("a", leaving)], false, now);
    assert_eq!(effects, [("a".to_owned(), Effect::Left)]);
    assert_eq!(ids(&table), ["b"]);
    apply(&mut table, vec![gone("b")], false, now);
    assert!(ids(&table).is_empty());
    assert!(table.of_service("s").is_none());
}

#[test]
fn apply_heartbeat_keeps_state() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(1, 1))], true, now);
    let server = table.all().next().unwrap().clone();
    let _in_flight = server.begin_request(RequestTokens::default());
    apply(&mut table, vec![put("a", ready(1, 2))], false, now);
    assert_eq!(table.all().next().unwrap().own(), 1);
}

#[rstest]
#[case::same_incarnation_older(1, 3)]
#[case::earlier_incarnation(0, 9)]
fn apply_old_record_ignored(#[case] born: u64, #[case] sequence: u64) {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", record(1, 5, ServerState::Leaving))], true, now);
    apply(&mut table, vec![put("a", ready(born, sequence))], false, now);
    assert!(ids(&table).is_empty(), "an old record does not bring back a leaving server");
    apply(&mut table, vec![gone("a"), put("a", ready(born, sequence))], false, now);
    assert!(ids(&table).is_empty(), "nor a server that is gone");
}

#[test]
fn apply_new_incarnation_resets_state() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(1, 50))], true, now);
    let former = table.all().next().unwrap().clone();
    let _in_flight = former.begin_request(RequestTokens::default());
    former.record_unreached(now);
    apply(&mut table, vec![put("a", ready(2, 1))], false, now);
    let server = table.all().next().unwrap();
    assert_eq!((server.born, server.own()), (2, 0));
    assert!(server.is_reachable(now));
}

#[test]
fn apply_unreadable_removes_server() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(1, 1)), put("b", ready(1, 1))], true, now);
    let unreadable = unreadable("a");
    assert_eq!(
        apply(&mut table, vec![unreadable], false, now),
        [("a".to_owned(), Effect::Unreadable)]
    );
    assert_eq!(ids(&table), ["b"]);
    apply(&mut table, vec![put("a", ready(1, 2))], false, now);
    assert_eq!(ids(&table), ["a", "b"]);
}

#[test]
fn outage_expired_records_retained() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(1, 1)), put("b", ready(1, 1))], true, now);
    table.source_recovered(now, now + Duration::from_secs(9));
    apply(&mut table, vec![gone("a"), gone("b")], false, now);
    assert_eq!(ids(&table), ["a", "b"], "expired records may reappear");
    let soon = now + Duration::from_millis(1_900);
    apply(&mut table, vec![put("a", ready(1, 7))], false, soon);
    let later = now + Duration::from_millis(2_300);
    table.expire(later, |_, _| {});
    assert_eq!(ids(&table), ["a"], "a record that is still missing is gone");
}

/// The last failed call timed out long before the first successful one, so that most of
/// the grace period has passed when the outage ends.
#[test]
fn outage_end_noticed_late() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(1, 1))], true, now);
    let latest = now + Duration::from_millis(700);
    table.source_recovered(now, latest);
    apply(&mut table, vec![gone("a")], false, now);
    assert_eq!(table.next_expiry(), Some(latest));
    table.expire(latest, |_, _| {});
    assert!(ids(&table).is_empty());
}

#[test]
fn outage_leaving_server_not_retained() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(1, 1))], true, now);
    table.source_recovered(now, now + Duration::from_secs(9));
    let leaving = record(1, 2, ServerState::Leaving);
    apply(&mut table, vec![put("a", leaving), gone("a")], false, now);
    assert!(ids(&table).is_empty());
}

#[test]
fn apply_complete_page_removes_missing() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(1, 1)), put("b", ready(1, 1))], true, now);
    apply(&mut table, vec![put("b", ready(1, 2))], true, now);
    assert_eq!(ids(&table), ["b"]);
}

/// Guards against a log in which a server leaves twice, as if it had been back meanwhile.
#[test]
fn apply_removal_after_leaving_gone() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", record(1, 1, ServerState::Leaving))], true, now);
    assert_eq!(apply(&mut table, vec![gone("a")], false, now), [("a".to_owned(), Effect::Gone)]);
}

#[test]
fn record_unreached_pause_grows() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(1, 1))], true, now);
    let server = table.all().next().unwrap();
    server.record_unreached(now);
    assert!(!server.is_reachable(now + Duration::from_millis(100)));
    assert!(server.is_reachable(now + Duration::from_millis(250)));
    let mut later = now;
    for _ in 0..20 {
        later += Duration::from_secs(3);
        server.record_unreached(later);
    }
    assert!(!server.is_reachable(later + Duration::from_millis(1_900)));
    assert!(server.is_reachable(later + Duration::from_millis(2_100)), "the pause is limited");
    assert!(server.record_reached(), "it was unreachable before");
    assert!(server.is_reachable(later));
    assert!(!server.record_reached());
}

/// The load that a server reports itself takes precedence over the reports of other
/// routers, for a while.
#[test]
fn load_server_report_first() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(1, 1))], true, now);
    let server = table.all().next().unwrap();
    let in_flight = server.begin_request(RequestTokens::default());
    server.set_reported_by_peers(2, Results::default());
    assert_eq!(server.load(now), 3);
    server.set_reported_load(9, now);
    assert_eq!(server.load(now), 9, "the report includes this router's request");
    drop(in_flight);
    assert_eq!(server.load(now), 8);
    let _more = server.begin_request(RequestTokens::default());
    assert_eq!(server.load(now + Duration::from_secs(1)), 3, "the report has expired");
    server.set_reported_load(0, now);
    assert_eq!(server.load(now), 1, "this router's request has not reached the server yet");
}

/// When the connections of twenty requests are reset at once, the pause must not grow with
/// each of them.
#[test]
fn record_unreached_many_at_once() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(1, 1))], true, now);
    let server = table.all().next().unwrap();
    let pauses = (0..20).filter_map(|_| server.record_unreached(now)).collect::<Vec<_>>();
    assert_eq!(pauses.len(), 1, "one log line");
    assert!(
        server.is_reachable(now + Duration::from_millis(250)),
        "it counts as one failure with a short pause"
    );
}

/// Applies the changes of one table to another, as routers do that do not read the store.
fn sync(
    from: &ServerTable,
    to: &mut ServerTable,
    known: &mut TableRevision,
    now: Instant,
) -> usize {
    let changes = from.since(*known);
    let count = changes.entries.len();
    let change = |(key, record): (String, Option<ServerRecord>)| Change {
        key,
        value: record.map(|it| Ok(ServerRecord::from((WireServer::from(&it), it.software)))),
    };
    let page = Page {
        changes: changes.entries.into_iter().map(change).collect(),
        next: Position::from(WirePosition::from(changes.position)),
        is_complete: changes.is_complete,
        is_last: true,
    };
    if to.apply(page, now, |_, _| {}) {
        *known = changes.revision;
    }
    count
}

#[test]
fn since_changes_only() {
    let (mut table, mut other, now) =
        (ServerTable::default(), ServerTable::default(), Instant::now());
    let mut known = TableRevision::default();
    apply(&mut table, vec![put("a", ready(1, 1)), put("b", ready(1, 1))], true, now);
    assert_eq!(sync(&table, &mut other, &mut known, now), 2);
    apply(&mut table, vec![put("a", ready(1, 2)), put("b", ready(1, 2))], false, now);
    assert_eq!(sync(&table, &mut other, &mut known, now), 0, "heartbeats are no changes");
    apply(&mut table, vec![put("a", record(1, 3, ServerState::Leaving)), gone("b")], false, now);
    assert_eq!(sync(&table, &mut other, &mut known, now), 2);
    assert!(ids(&other).is_empty());
    apply(&mut table, vec![put("b", ready(2, 1))], false, now);
    sync(&table, &mut other, &mut known, now);
    assert_eq!(ids(&other), ["b"]);
}

#[test]
fn since_removed_revision_complete() {
    let (mut table, mut other, now) =
        (ServerTable::default(), ServerTable::default(), Instant::now());
    let mut known = TableRevision::default();
    apply(&mut table, vec![put("a", ready(1, 1)), put("b", ready(1, 1))], true, now);
    sync(&table, &mut other, &mut known, now);
    apply(&mut table, vec![gone("a")], false, now);
    let later = now + Duration::from_secs(61);
    table.expire(later, |_, _| {});
    sync(&table, &mut other, &mut known, later);
    assert_eq!(ids(&other), ["b"]);
}
