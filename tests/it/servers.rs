//! Records of backend servers: joins, leaves, incarnations, outages.

use std::time::{Duration, Instant};

use filberttiller::decide::Results;
use filberttiller::servers::{Change, Effect, Page, ServerRecord, ServerState, ServerTable};
use rstest::rstest;

fn record(born: u64, sequence: u64, state: ServerState) -> ServerRecord {
    ServerRecord {
        service: "s".to_owned(),
        address: "127.0.0.1:80".parse().unwrap(),
        domain: "a".to_owned(),
        slots: 4,
        state,
        warm_up: Duration::ZERO,
        born,
        sequence,
    }
}

fn ready(born: u64, sequence: u64) -> ServerRecord {
    record(born, sequence, ServerState::Ready)
}

fn put(key: &str, record: ServerRecord) -> Change<ServerRecord> {
    Change { key: key.to_owned(), value: Some(Ok(record)) }
}

fn gone(key: &str) -> Change<ServerRecord> {
    Change { key: key.to_owned(), value: None }
}

fn apply(
    table: &mut ServerTable,
    changes: Vec<Change<ServerRecord>>,
    whole: bool,
    now: Instant,
) -> Vec<(String, Effect)> {
    let mut effects = Vec::new();
    let page = Page { changes, next: 0, is_complete: whole };
    table.apply(page, now, |id, effect| effects.push((id.to_owned(), effect)));
    effects
}

fn ids(table: &ServerTable) -> Vec<String> {
    let mut ids: Vec<String> = table.all().map(|it| it.id.to_string()).collect();
    ids.sort();
    ids
}

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
    let _held = server.begin_request();
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
    assert!(ids(&table).is_empty(), "a leaving server does not come back by an old record");
    apply(&mut table, vec![gone("a"), put("a", ready(born, sequence))], false, now);
    assert!(ids(&table).is_empty(), "nor one that is gone");
}

#[test]
fn apply_new_incarnation_starts_anew() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(1, 50))], true, now);
    let former = table.all().next().unwrap().clone();
    let _held = former.begin_request();
    former.record_unreached(now);
    apply(&mut table, vec![put("a", ready(2, 1))], false, now);
    let server = table.all().next().unwrap();
    assert_eq!((server.born, server.own()), (2, 0));
    assert!(server.is_reachable(now));
}

#[test]
fn apply_unreadable_names_no_server() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(1, 1)), put("b", ready(1, 1))], true, now);
    let odd = Change { key: "a".to_owned(), value: Some(Err("odd".to_owned())) };
    assert_eq!(apply(&mut table, vec![odd], false, now), [("a".to_owned(), Effect::Unreadable)]);
    assert_eq!(ids(&table), ["b"]);
    apply(&mut table, vec![put("a", ready(1, 2))], false, now);
    assert_eq!(ids(&table), ["a", "b"]);
}

#[test]
fn outage_lapsed_records_wait() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(1, 1)), put("b", ready(1, 1))], true, now);
    table.source_recovered(now, now + Duration::from_secs(9));
    apply(&mut table, vec![gone("a"), gone("b")], false, now);
    assert_eq!(ids(&table), ["a", "b"], "lapsed records may come back");
    let soon = now + Duration::from_millis(1_900);
    apply(&mut table, vec![put("a", ready(1, 7))], false, soon);
    let later = now + Duration::from_millis(2_300);
    table.expire(later, |_, _| {});
    assert_eq!(ids(&table), ["a"], "what is still missing is gone");
}

/// The last call that failed was a silent one, long before the first that did not.
#[test]
fn outage_noticed_late_holds_shorter() {
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
fn outage_leaving_server_is_not_held() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(1, 1))], true, now);
    table.source_recovered(now, now + Duration::from_secs(9));
    let leaving = record(1, 2, ServerState::Leaving);
    apply(&mut table, vec![put("a", leaving), gone("a")], false, now);
    assert!(ids(&table).is_empty());
}

#[test]
fn whole_page_removes_missing() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(1, 1)), put("b", ready(1, 1))], true, now);
    apply(&mut table, vec![put("b", ready(1, 2))], true, now);
    assert_eq!(ids(&table), ["b"]);
}

#[test]
fn unreached_pauses_grow() {
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
    assert!(server.is_reachable(later + Duration::from_millis(2_100)), "never forgotten for long");
    assert!(server.record_reached(), "it was not reached before");
    assert!(server.is_reachable(later));
    assert!(!server.record_reached());
}

/// What a server says of itself goes before what other routers told, for a while.
#[test]
fn load_as_server_told_lately() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(1, 1))], true, now);
    let server = table.all().next().unwrap();
    let held = server.begin_request();
    server.set_reported_by_peers(2, Results::default());
    assert_eq!(server.load(now), 3);
    server.set_reported_load(9, now);
    assert_eq!(server.load(now), 9, "this router's request is among them");
    drop(held);
    assert_eq!(server.load(now), 8);
    let _more = server.begin_request();
    assert_eq!(server.load(now + Duration::from_secs(1)), 3, "too long ago");
    server.set_reported_load(0, now);
    assert_eq!(server.load(now), 1, "the server has not got this router's request yet");
}

/// Pattern: connections are reset while twenty requests are about to be sent.
#[test]
fn unreached_by_many_at_once_pauses_once() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(1, 1))], true, now);
    let server = table.all().next().unwrap();
    let told = (0..20).filter_map(|_| server.record_unreached(now)).collect::<Vec<_>>();
    assert_eq!(told.len(), 1, "one line for the log");
    assert!(server.is_reachable(now + Duration::from_millis(250)), "one failure, a short pause");
}

/// Applies what one table tells to another, as routers do that do not follow the store.
fn follow(from: &ServerTable, to: &mut ServerTable, known: &mut u64, now: Instant) -> usize {
    let (whole, rows) = from.since(*known);
    *known = from.revision();
    let count = rows.len();
    let change = |(key, row): (String, Option<filberttiller::wire::WireServer>)| Change {
        key,
        value: row.map(|it| Ok(ServerRecord::from(it))),
    };
    apply(to, rows.into_iter().map(change).collect(), whole, now);
    count
}

#[test]
fn since_tells_only_news() {
    let (mut table, mut other, now) =
        (ServerTable::default(), ServerTable::default(), Instant::now());
    let mut known = u64::MAX;
    apply(&mut table, vec![put("a", ready(1, 1)), put("b", ready(1, 1))], true, now);
    assert_eq!(follow(&table, &mut other, &mut known, now), 2);
    apply(&mut table, vec![put("a", ready(1, 2)), put("b", ready(1, 2))], false, now);
    assert_eq!(follow(&table, &mut other, &mut known, now), 0, "heartbeats are no news");
    apply(&mut table, vec![put("a", record(1, 3, ServerState::Leaving)), gone("b")], false, now);
    assert_eq!(follow(&table, &mut other, &mut known, now), 2);
    assert!(ids(&other).is_empty());
    apply(&mut table, vec![put("b", ready(2, 1))], false, now);
    follow(&table, &mut other, &mut known, now);
    assert_eq!(ids(&other), ["b"]);
}

#[test]
fn since_forgotten_change_tells_all() {
    let (mut table, mut other, now) =
        (ServerTable::default(), ServerTable::default(), Instant::now());
    let mut known = u64::MAX;
    apply(&mut table, vec![put("a", ready(1, 1)), put("b", ready(1, 1))], true, now);
    follow(&table, &mut other, &mut known, now);
    apply(&mut table, vec![gone("a")], false, now);
    let later = now + Duration::from_secs(61);
    table.expire(later, |_, _| {});
    follow(&table, &mut other, &mut known, later);
    assert_eq!(ids(&other), ["b"]);
}
