//! Ejection of backend servers that fail a share of their requests while their records
//! state that they are ready.

use std::time::{Duration, Instant};

use filberttiller::decide::{Results, is_failing, max_avoided};
use filberttiller::servers::{Change, Page, Position, ServerRecord, ServerTable};
use rstest::rstest;

use crate::support::server_record;

const fn results(good: f64, bad: f64) -> Results {
    Results { good, bad }
}

#[rstest]
#[case::one_of_many(results(5.0, 4.0), results(150.0, 5.0), true)]
#[case::too_few_failures(results(0.0, 2.0), results(150.0, 2.0), false)]
#[case::all_fail_alike(results(5.0, 4.0), results(50.0, 40.0), false)]
#[case::many_but_small_share(results(90.0, 10.0), results(900.0, 10.0), false)]
#[case::twice_the_others(results(6.0, 4.0), results(86.0, 24.0), false)]
fn is_failing_by_others(#[case] own: Results, #[case] all: Results, #[case] expected: bool) {
    assert_eq!(is_failing(own, all, false), expected);
}

#[test]
fn is_failing_until_decayed() {
    let all = results(100.0, 3.0);
    assert!(is_failing(results(0.0, 1.5), all, true));
    assert!(!is_failing(results(0.0, 0.9), all, true));
}

fn table(count: u64) -> ServerTable {
    let record = |sequence| ServerRecord { slots: 64, sequence, ..server_record() };
    let change = |it: u64| Change { key: format!("i-{it}"), value: Some(Ok(record(it))) };
    let mut table = ServerTable::default();
    let page = Page {
        changes: (0..count).map(change).collect(),
        next: Position::default(),
        is_complete: true,
        is_last: true,
    };
    table.apply(page, Instant::now(), |_, _| {});
    table
}

/// Three of 18 servers fail about half of their requests (45 in 100 in the case that was
/// observed): they are ejected, and get requests again later.
#[test]
fn update_ejections_until_decayed() {
    let (table, now) = (table(18), Instant::now());
    let servers: Vec<_> = table.all().cloned().collect();
    for step in 0..20u32 {
        for (at, server) in servers.iter().enumerate() {
            server.record_result(at >= 3 || step % 2 == 0, now);
        }
    }
    let mut changed = Vec::new();
    table.update_ejections(now, |it, _| changed.push(it.id.clone()));
    assert_eq!(changed.len(), 3);
    assert!(servers[..3].iter().all(|it| it.is_ejected()));
    table.update_ejections(now + Duration::from_secs(5), |_, _| panic!("too early"));
    table.update_ejections(now + Duration::from_secs(15), |it, _| assert!(!it.is_ejected()));
    assert!(servers.iter().all(|it| !it.is_ejected()));
}

/// Results reported by other routers are enough for an ejection.
#[test]
fn update_ejections_by_peer_results() {
    let (table, now) = (table(18), Instant::now());
    let server = table.all().next().unwrap();
    server.set_reported_by_peers(0, results(4.0, 4.0));
    table.update_ejections(now, |it, _| assert!(it.is_ejected()));
    assert!(server.is_ejected());
}

#[test]
fn update_ejections_limited() {
    let (table, now) = (table(3), Instant::now());
    let servers: Vec<_> = table.all().cloned().collect();
    (0..50).for_each(|_| servers[2].record_result(true, now));
    (0..10).for_each(|_| servers[..2].iter().for_each(|it| it.record_result(false, now)));
    table.update_ejections(now, |_, _| {});
    let ejected = servers.iter().filter(|it| it.is_ejected()).count();
    assert!(ejected <= max_avoided(3));
}
