//! The policy for suspect requests, and the table of crashes.

use std::time::{Duration, Instant};

use filberttiller::decide::{SuspectPolicy, suspect_policy};
use filberttiller::fleet::{Crash, CrashReport, CrashTable};
use rstest::rstest;

#[rstest]
#[case::none(0, SuspectPolicy::Normal)]
#[case::one(1, SuspectPolicy::Isolated)]
#[case::limit(2, SuspectPolicy::Reject)]
#[case::more(3, SuspectPolicy::Reject)]
fn suspect_policy_by_crash_count(#[case] crashes: usize, #[case] expected: SuspectPolicy) {
    assert_eq!(suspect_policy(crashes, 2), expected);
}

#[test]
fn crash_count_expires_after_release() {
    let (start, release) = (Instant::now(), Duration::from_secs(10));
    let table = CrashTable::new(release);
    for server in 0..2 {
        let it = report(7, server, 0, start);
        assert!(table.insert(it, start));
        assert!(!table.insert(it, start));
    }
    assert_eq!(table.crash_count(7, 0, start), 2);
    assert_eq!(table.crash_count(8, 0, start), 0);
    assert_eq!(table.crash_count(7, 0, start + release), 0);
    let late = report(7, 3, 0, start);
    assert!(!table.insert(late, start + release));
}

/// Guards against messages between routers that grow with each request beside a crash.
#[test]
fn most_relevant_bounded() {
    let now = Instant::now();
    let table = CrashTable::new(Duration::from_secs(60));
    for server in 0..2 {
        table.insert(report(7, server, 0, now), now);
    }
    for request in 100..400 {
        let at = now + Duration::from_millis(request);
        table.insert(report(request, request, 0, at), at);
    }
    let told = table.most_relevant(32, now + Duration::from_secs(1));
    let requests: Vec<u64> = told.iter().map(|it| it.crash.fingerprint).collect();
    assert_eq!(requests.len(), 32);
    assert_eq!(requests[..3], [7, 7, 399]);
}

/// Crashes from before the suspicion was lifted do not count, however late they are
/// reported; crashes after it do.
#[test]
fn crash_count_ignores_crashes_before_lift() {
    let now = Instant::now();
    let table = CrashTable::new(Duration::from_secs(10));
    assert!(table.insert(report(7, 0, 0, now), now));
    assert!(table.insert(report(7, 1, 5, now), now));
    assert_eq!(
        (table.crash_count(7, 0, now), table.crash_count(7, 5, now), table.crash_count(7, 6, now)),
        (2, 1, 0)
    );
    assert!(table.insert(report(7, 2, 4, now), now));
    assert_eq!(table.crash_count(7, 5, now), 1);
    // Two routers report the same crash and only one of them knew of the lift: it
    // counts once.
    assert!(table.insert(report(7, 0, 5, now), now));
    assert!(!table.insert(report(7, 0, 0, now), now));
    assert_eq!((table.crash_count(7, 0, now), table.crash_count(7, 5, now)), (3, 2));
}

/// A full table still records crashes and drops the oldest.
#[test]
fn insert_into_full_table_drops_oldest() {
    const MAX_REPORTS: u64 = 4_096;
    let now = Instant::now();
    let table = CrashTable::new(Duration::from_secs(10));
    for i in 0..=MAX_REPORTS {
        assert!(table.insert(report(i, i, 0, now), now));
    }
    assert_eq!((table.crash_count(0, 0, now), table.crash_count(1, 0, now)), (0, 1));
    assert_eq!(table.crash_count(MAX_REPORTS, 0, now), 1);
    assert!(!table.has_crashed(0, 1) && table.has_crashed(MAX_REPORTS, 1));
    let (reports, next) = table.since(MAX_REPORTS as usize);
    assert_eq!((reports.len(), next), (1, MAX_REPORTS as usize + 1));
}

fn report(fingerprint: u64, server: u64, lift: u64, at: Instant) -> CrashReport {
    CrashReport { crash: Crash { fingerprint, server, incarnation: 1, lift }, at }
}
