//! What backend servers state of themselves, while their records change, go and come back.

use std::time::{Duration, Instant};

use filberttiller::decide::LimitSenders;
use filberttiller::servers::{
    Change, ColdTerms, Effect, LimitStatement, ServerRecord, ServerState, ServerTable,
};
use rstest::rstest;

use crate::server_records::{apply, gone, ids, incarnation, put, ready, record, unreadable};

/// Guards against a time that a server asked for and that is forgotten as its record is away for
/// more than a minute (BUDGET).
#[test]
fn asked_time_outlives_removed_record() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(1, 1))], true, now);
    table.all().next().unwrap().stated.backoff.begin(Duration::from_secs(200), now);
    apply(&mut table, vec![gone("a")], false, now);
    let back = now + Duration::from_secs(90);
    table.expire(back, |_, _| {});
    apply(&mut table, vec![put("a", ready(1, 2))], false, back);
    let server = table.all().next().unwrap();
    assert!(!server.has_allowance(&ColdTerms::default(), back));
    assert!(server.has_allowance(&ColdTerms::default(), now + Duration::from_secs(201)));
}

/// Every way in which the record of an incarnation can change, go and come back.
#[rstest]
#[case::heartbeat(vec![put("a", ready(2, 2))])]
#[case::other_slots(vec![put("a", ServerRecord { slots: 99, ..ready(2, 2) })])]
#[case::ready_after_leaving(vec![put("a", record(2, 2, ServerState::Leaving)), put("a", ready(2, 3))])]
#[case::removed_and_back(vec![gone("a"), put("a", ready(2, 2))])]
#[case::unreadable_and_back(vec![
    unreadable("a"),
    put("a", ready(2, 2)),
])]
fn stated_condition_outlives_record(#[case] changes: Vec<Change<ServerRecord>>) {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(2, 1))], true, now);
    let server = table.all().next().unwrap().clone();
    server.stated.backoff.begin(Duration::from_secs(9), now);
    let statement = LimitStatement { limit: Some(3.0), at: now };
    server.state_limit(statement, &LimitSenders::default(), now);
    apply(&mut table, changes, false, now);
    let server = table.all().next().unwrap();
    assert!(!server.has_allowance(&ColdTerms::default(), now), "it asked for time");
    assert_eq!(server.limit_statement(now).map(|it| it.0), Some(statement));
}

/// Guards against a restarted server that gets requests before it has answered its health
/// check, as its record changed meanwhile (DRAIN, BUDGET).
#[rstest]
#[case::other_slots(vec![put("a", ServerRecord { slots: 99, ..ready(2, 2) })])]
#[case::removed_and_back(vec![gone("a"), put("a", ready(2, 2))])]
#[case::unreadable_and_back(vec![
    unreadable("a"),
    put("a", ready(2, 2)),
])]
#[case::restarted_again(vec![put("a", ready(3, 1))])]
fn unconfirmed_outlives_record(#[case] changes: Vec<Change<ServerRecord>>) {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(1, 1))], true, now);
    table.state_leaving(incarnation(&table), now, now);
    apply(&mut table, vec![put("a", ready(2, 1))], false, now);
    assert!(!table.all().next().unwrap().has_allowance(&ColdTerms::default(), now));
    let checked = table.take_unconfirmed();
    apply(&mut table, changes, false, now);
    let server = table.all().next().unwrap().clone();
    assert!(!server.has_allowance(&ColdTerms::default(), now));
    let again = table.take_unconfirmed();
    checked.iter().chain(&again).for_each(|(it, _)| it.confirm());
    assert!(server.has_allowance(&ColdTerms::default(), now), "a health check confirms it");
}

/// Guards against a server that gets requests again, though it said that it leaves, after a
/// change of its record within the incarnation.
#[rstest]
#[case::heartbeat(vec![put("a", ready(1, 2))])]
#[case::ready_after_leaving(vec![put("a", record(1, 2, ServerState::Leaving)), put("a", ready(1, 3))])]
#[case::removed_and_back(vec![gone("a"), put("a", ready(1, 2))])]
#[case::unreadable_and_back(vec![
    unreadable("a"),
    put("a", ready(1, 2)),
])]
#[case::older_record(vec![put("a", ready(1, 0)), put("a", ready(0, 9))])]
fn state_leaving_outlives_record(#[case] changes: Vec<Change<ServerRecord>>) {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(1, 1))], true, now);
    let incarnation = incarnation(&table);
    assert!(table.state_leaving(incarnation, now, now).is_some());
    assert!(table.state_leaving(incarnation, now, now).is_none(), "it is known");
    assert!(ids(&table).is_empty());
    apply(&mut table, changes, false, now);
    assert!(ids(&table).is_empty());
    apply(&mut table, vec![put("a", ready(1, 9))], true, now);
    assert!(ids(&table).is_empty(), "nor after the whole list is read");
}

#[test]
fn state_leaving_ends_with_incarnation() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(1, 1))], true, now);
    table.state_leaving(incarnation(&table), now, now);
    apply(&mut table, vec![put("a", ready(2, 1))], false, now);
    assert_eq!(ids(&table), ["a"]);
}

/// Another router may tell of a server whose record is not read yet.
#[test]
fn state_leaving_before_record() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    let mut other = ServerTable::default();
    apply(&mut other, vec![put("a", ready(1, 1))], true, now);
    assert!(table.state_leaving(incarnation(&other), now, now).is_none());
    let effects = apply(&mut table, vec![put("a", ready(1, 1))], true, now);
    assert_eq!(effects, [("a".to_owned(), Effect::Left)]);
    assert!(ids(&table).is_empty());
}

/// An outage must not keep a server in use that said that it leaves.
#[test]
fn state_leaving_not_retained_in_outage() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(1, 1))], true, now);
    table.state_leaving(incarnation(&table), now, now);
    table.source_recovered(now, now + Duration::from_secs(9));
    let effects = apply(&mut table, vec![gone("a")], false, now);
    assert_eq!(effects, [("a".to_owned(), Effect::Gone)]);
}

/// Statements are told to other routers while they are news or the server has a record, and
/// dropped some minutes after the record is gone.
#[test]
fn leaving_statements_told_while_of_use() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", ready(1, 1))], true, now);
    let incarnation = incarnation(&table);
    table.state_leaving(incarnation, now, now);
    table.state_leaving(7, now, now);
    let told = |table: &ServerTable, after: u64| {
        let all = table.leaving_statements(now + Duration::from_secs(after));
        let mut all: Vec<(u64, bool)> = all.map(|(key, _, is_news)| (key, is_news)).collect();
        all.sort_unstable_by_key(|it| (!it.1, it.0 != 7));
        all
    };
    assert_eq!(told(&table, 1), [(7, true), (incarnation, true)]);
    assert_eq!(told(&table, 5), [(incarnation, false)], "the other has no record");
    table.expire(now + Duration::from_secs(3_600), |_, _| {});
    assert_eq!(told(&table, 3_600), [(incarnation, false)]);
    apply(&mut table, vec![gone("a")], false, now);
    assert!(told(&table, 3_600).is_empty());
    table.expire(now + Duration::from_secs(3_700), |_, _| {});
    apply(&mut table, vec![put("a", ready(1, 9))], false, now + Duration::from_secs(3_700));
    assert_eq!(ids(&table), ["a"], "the statement was dropped");
}

/// The number of statements is bounded: the oldest are dropped first.
#[test]
fn state_leaving_bounded() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    for number in 0..5_000 {
        let at = now + Duration::from_millis(number);
        table.state_leaving(number, at, at);
    }
    let later = now + Duration::from_millis(5_000);
    let all: Vec<u64> = table.leaving_statements(later).map(|(key, _, _)| key).collect();
    assert!(all.len() <= 4_096);
    assert!(all.contains(&4_999) && !all.contains(&0));
}
