//! Care for suspects, and the memory of crashes.

use std::time::{Duration, Instant};

use filberttiller::decide::{SuspectPolicy, suspect_policy};
use filberttiller::fleet::{Crash, CrashReport, CrashTable};
use rstest::rstest;

#[rstest]
#[case::none(0, SuspectPolicy::Normal)]
#[case::one(1, SuspectPolicy::Isolated)]
#[case::limit(2, SuspectPolicy::Reject)]
#[case::more(3, SuspectPolicy::Reject)]
fn care_by_deaths(#[case] deaths: usize, #[case] expected: SuspectPolicy) {
    assert_eq!(suspect_policy(deaths, 2), expected);
}

#[test]
fn board_releases_after_time() {
    let (start, release) = (Instant::now(), Duration::from_secs(10));
    let board = CrashTable::new(release);
    for server in 0..2 {
        let it = report(7, server, 0, start);
        assert!(board.insert(it, start));
        assert!(!board.insert(it, start));
    }
    assert_eq!(board.crash_count(7, 0, start), 2);
    assert_eq!(board.crash_count(8, 0, start), 0);
    assert_eq!(board.crash_count(7, 0, start + release), 0);
    let late = report(7, 3, 0, start);
    assert!(!board.insert(late, start + release));
}

/// What died before the lift is forgiven, however late it is told; what dies
/// after it counts.
#[test]
fn board_forgives_before_lift() {
    let now = Instant::now();
    let board = CrashTable::new(Duration::from_secs(10));
    assert!(board.insert(report(7, 0, 0, now), now));
    assert!(board.insert(report(7, 1, 5, now), now));
    assert_eq!(
        (board.crash_count(7, 0, now), board.crash_count(7, 5, now), board.crash_count(7, 6, now)),
        (2, 1, 0)
    );
    assert!(board.insert(report(7, 2, 4, now), now));
    assert_eq!(board.crash_count(7, 5, now), 1);
    // One death told by two routers, of which one knew the lift, is one death.
    assert!(board.insert(report(7, 0, 5, now), now));
    assert!(!board.insert(report(7, 0, 0, now), now));
    assert_eq!((board.crash_count(7, 0, now), board.crash_count(7, 5, now)), (3, 2));
}

/// A full board goes on noting crashes; the oldest make room.
#[test]
fn board_full_drops_oldest() {
    const ROOM: u64 = 4_096;
    let now = Instant::now();
    let board = CrashTable::new(Duration::from_secs(10));
    for i in 0..=ROOM {
        assert!(board.insert(report(i, i, 0, now), now));
    }
    assert_eq!((board.crash_count(0, 0, now), board.crash_count(1, 0, now)), (0, 1));
    assert_eq!(board.crash_count(ROOM, 0, now), 1);
    assert!(!board.has_crashed(0, 1) && board.has_crashed(ROOM, 1));
    let (reports, next) = board.since(ROOM as usize);
    assert_eq!((reports.len(), next), (1, ROOM as usize + 1));
}

fn report(fingerprint: u64, server: u64, lift: u64, at: Instant) -> CrashReport {
    CrashReport { crash: Crash { fingerprint, server, incarnation: 1, lift }, at }
}
