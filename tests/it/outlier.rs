//! Tests of outlier ejection, the retry budget and verdicts.

use std::time::{Duration, Instant};

use filberttiller::decide::{FailurePoint, Outliers, RetryBudget, ServerResult, Verdict};
use proptest::prelude::*;
use rstest::rstest;

use crate::decoders::fixed_seed;

const SECOND: Duration = Duration::from_secs(1);

/// Records failures of `server` until it is ejected, or 20 of them; true if it was ejected.
fn eject(outliers: &mut Outliers, server: u64, now: Instant, max: usize) -> bool {
    (0..20).any(|_| outliers.end(server, ServerResult::Bad, now, max))
}

#[rstest]
#[case(1, 1.25, 0)]
#[case(4, 1.25, 0)]
#[case(5, 1.25, 1)]
#[case(12, 1.25, 2)]
#[case(790, 1.25, 158)]
#[case(3, 2.0, 1)]
#[case(10, 1.0, 0)]
fn max_ejected_keeps_bound(#[case] count: usize, #[case] bound: f64, #[case] max: usize) {
    assert_eq!(Outliers::max_ejected(count, bound), max);
}

#[test]
fn end_failing_server_ejected_until_probe() {
    let mut outliers = Outliers::default();
    let now = Instant::now();
    assert!(!outliers.is_ejected(1, now, true));
    assert!(eject(&mut outliers, 1, now, 1));
    assert!(outliers.is_ejected(1, now, true));
    let later = now + SECOND;
    assert!(outliers.is_ejected(1, later, false));
    assert!(!outliers.is_ejected(1, later, true));
    assert!(outliers.begin(1, later));
    assert!(outliers.is_ejected(1, later, true), "one probe at a time");
    outliers.end(1, ServerResult::Good(None), later, 1);
    assert!(!outliers.is_ejected(1, later, false));
}

#[test]
fn end_failed_probe_ejects_longer() {
    let mut outliers = Outliers::default();
    let mut now = Instant::now();
    assert!(eject(&mut outliers, 1, now, 1));
    for seconds in [1, 2, 4, 8, 16, 30, 30] {
        let end = now + SECOND * seconds;
        assert!(outliers.is_ejected(1, end - Duration::from_millis(1), true), "{seconds}");
        assert!(!outliers.is_ejected(1, end, true), "{seconds}");
        outliers.begin(1, end);
        outliers.end(1, ServerResult::Bad, end, 1);
        now = end;
    }
}

#[test]
fn end_ejects_slow_server() {
    let mut outliers = Outliers::default();
    let now = Instant::now();
    let time = |server: u64| Duration::from_millis(if server == 3 { 400 } else { 20 });
    let mut ejected = Vec::new();
    for _ in 0..30 {
        for server in 0..4 {
            if outliers.end(server, ServerResult::Good(Some(time(server))), now, 1) {
                ejected.push(server);
            }
        }
    }
    assert_eq!(ejected, [3]);
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// Whatever the results, never more than `max` servers are ejected.
    #[test]
    fn ejected_count_never_above_max(
        results in prop::collection::vec((0u64..12, 0u8..4, 0u64..3_000), 0..600),
        max in 0usize..4,
    ) {
        let mut outliers = Outliers::default();
        let mut now = Instant::now();
        for (server, result, millis) in results {
            now += Duration::from_millis(millis);
            outliers.begin(server, now);
            let result = match result {
                0 => ServerResult::Good(Some(Duration::from_millis(millis))),
                1 => ServerResult::Unknown,
                _ => ServerResult::Bad,
            };
            outliers.end(server, result, now, max);
            prop_assert!(outliers.ejected_count() <= max);
        }
    }

    /// Retries are at most a tenth of the requests, plus one a second, plus 20.
    #[test]
    fn budget_bounds_retries(steps in prop::collection::vec((0u64..200, 0usize..4), 0..500)) {
        let begin = Instant::now();
        let mut now = begin;
        let mut budget = RetryBudget::new(now);
        let (mut requests, mut retries) = (0u64, 0u64);
        for (millis, wanted) in steps {
            now += Duration::from_millis(millis);
            budget.earn();
            requests += 1;
            retries += (0..wanted).filter(|_| budget.spend(now)).count() as u64;
            let seconds = (now - begin).as_secs() + 1;
            prop_assert!(retries <= requests / 10 + seconds + 20);
        }
    }
}

#[test]
fn budget_refills_without_requests() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(now);
    while budget.spend(now) {}
    assert!(!budget.spend(now + Duration::from_millis(900)));
    assert!(budget.spend(now + SECOND * 2));
}

#[rstest]
#[case(Verdict::NotRun, Verdict::NotRun, Verdict::NotRun)]
#[case(Verdict::NotRun, Verdict::MayHaveRun, Verdict::MayHaveRun)]
#[case(Verdict::MayHaveRun, Verdict::NotRun, Verdict::MayHaveRun)]
fn verdict_and_keeps_may_have_run(
    #[case] first: Verdict,
    #[case] second: Verdict,
    #[case] both: Verdict,
) {
    assert_eq!(first.and(second), both);
}

#[test]
fn verdict_not_run_only_before_sending() {
    let points = [
        FailurePoint::Exchange,
        FailurePoint::Failed,
        FailurePoint::Rejected,
        FailurePoint::Body,
        FailurePoint::Mismatch,
        FailurePoint::Timeout,
    ];
    assert!(points.iter().all(|it| it.verdict() == Verdict::MayHaveRun && it.reached_server()));
}

#[rstest]
#[case::all_quiet(4, false)]
#[case::one_quiet(1, true)]
fn check_stall_ejects_stalled_server(#[case] quiet: u64, #[case] wanted: bool) {
    let mut outliers = Outliers::default();
    let now = Instant::now();
    for server in 0..4 {
        for _ in 0..3 {
            outliers.begin(server, now);
        }
    }
    let later = now + SECOND * 3;
    for server in quiet..4 {
        outliers.end(server, ServerResult::Good(None), later, 1);
    }
    assert!(!outliers.check_stall(0, now + SECOND, 1));
    assert_eq!(outliers.check_stall(0, later, 1), wanted);
    assert_eq!(outliers.is_ejected(0, later, true), wanted);
}

/// Guards against counting attempts as outstanding after their callers left.
#[test]
fn check_stall_ignores_dropped_attempts() {
    let mut outliers = Outliers::default();
    let now = Instant::now();
    for server in [0, 0, 0, 0, 1, 2] {
        outliers.begin(server, now);
        outliers.end(server, ServerResult::Unknown, now, 1);
    }
    outliers.begin(0, now);
    assert!(!outliers.check_stall(0, now + SECOND * 60, 1));
}

/// Guards against a server that left while it was ejected taking up the place of a
/// failing one, which would then stay in use.
#[test]
fn retain_frees_place_of_left_server() {
    let mut outliers = Outliers::default();
    let now = Instant::now();
    for server in 0..5 {
        outliers.end(server, ServerResult::Good(None), now, 1);
    }
    assert!(eject(&mut outliers, 0, now, 1));
    outliers.end(5, ServerResult::Good(None), now, 1);
    assert!(!eject(&mut outliers, 1, now, 1));
    outliers.retain(5, |id| id != 0);
    assert_eq!(outliers.ejected_count(), 0);
    assert!(eject(&mut outliers, 1, now, 1));
}
