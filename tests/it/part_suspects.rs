//! The rules by which parts of prompts are blamed for crashes, and cleared.

use std::time::{Duration, Instant};

use filberttiller::decide::{CutRun, PartChange, PartPolicy, PartSuspects, RunProgress};
use rstest::rstest;

/// A part that crashes servers.
const BAD_PART: u64 = 0xbad;

fn cut(server: u64, progress: RunProgress, parts: &[u64], at: Instant) -> CutRun {
    CutRun { server, points: progress.points(), at, parts: parts.iter().copied().collect() }
}

/// Suspects after `count` servers crashed under requests with `parts`, and the time then.
fn suspects_after(count: u64, progress: RunProgress, parts: &[u64]) -> (PartSuspects, Instant) {
    let mut suspects = PartSuspects::default();
    let start = Instant::now();
    for server in 0..count {
        let at = start + Duration::from_millis(server * 100);
        suspects.record_cut(cut(server, progress, parts, at), at);
    }
    (suspects, start + Duration::from_millis(count * 100))
}

/// Guards against parts that are blamed on too little, or on nothing but bad luck.
#[rstest]
#[case::begun_twice(RunProgress::Begun, 2, PartPolicy::Normal)]
#[case::begun_three_times(RunProgress::Begun, 3, PartPolicy::Reject(7))]
#[case::unanswered_four_times(RunProgress::Unanswered, 4, PartPolicy::Normal)]
#[case::unanswered_five_times(RunProgress::Unanswered, 5, PartPolicy::Reject(7))]
#[case::writing_five_times(RunProgress::Writing, 5, PartPolicy::Reject(7))]
#[case::established(RunProgress::Established, 50, PartPolicy::Normal)]
fn blame_needs_crashes(
    #[case] progress: RunProgress,
    #[case] count: u64,
    #[case] expected: PartPolicy,
) {
    let (mut suspects, now) = suspects_after(count, progress, &[7]);
    assert_eq!(suspects.policy(&[7], now), expected);
}

#[test]
fn one_server_counts_once() {
    let mut suspects = PartSuspects::default();
    let now = Instant::now();
    for progress in [RunProgress::Begun, RunProgress::Unanswered, RunProgress::Writing] {
        suspects.record_cut(cut(1, progress, &[7], now), now);
        suspects.record_cut(cut(1, progress, &[7, 8], now), now);
    }
    assert_eq!(suspects.policy(&[7], now), PartPolicy::Normal);
}

/// Guards against a sound part that is refused for ever because all requests that crashed had
/// it beside the bad one (LOST): one request without the bad one is tried, and clears it.
#[test]
fn companion_of_bad_part_tried_and_cleared() {
    let (mut suspects, now) = suspects_after(3, RunProgress::Begun, &[7, BAD_PART]);
    assert_eq!(suspects.policy(&[7, BAD_PART], now), PartPolicy::Reject(7));
    assert_eq!(suspects.policy(&[7, 8], now), PartPolicy::Trial(7));
    assert_eq!(suspects.policy(&[7, 9], now), PartPolicy::Reject(7));
    let changes = suspects.record_answered([7, 8].into_iter(), now);
    suspects.end_trial(7);
    assert_eq!(changes.as_slice(), [PartChange::Cleared(7)]);
    assert_eq!(suspects.policy(&[7, 9], now), PartPolicy::Normal);
    assert_eq!(suspects.policy(&[7, BAD_PART], now), PartPolicy::Reject(BAD_PART));
}

/// Guards against trials that go on crashing servers: a part that crashes one alone has no
/// other cause any more.
#[test]
fn failed_trial_not_repeated() {
    let (mut suspects, now) = suspects_after(3, RunProgress::Begun, &[7, BAD_PART]);
    assert_eq!(suspects.policy(&[8, BAD_PART], now), PartPolicy::Trial(BAD_PART));
    suspects.record_cut(cut(9, RunProgress::Begun, &[8, BAD_PART], now), now);
    suspects.end_trial(BAD_PART);
    assert_eq!(suspects.policy(&[8, BAD_PART], now), PartPolicy::Reject(BAD_PART));
}

/// After its time a part is tried once; one crash is enough to blame it again.
#[test]
fn blame_runs_out_and_is_renewed() {
    let (mut suspects, now) = suspects_after(3, RunProgress::Begun, &[7]);
    let later = now + Duration::from_secs(4 * 3_600);
    suspects.remove_expired(later);
    assert_eq!(suspects.policy(&[7], later), PartPolicy::Trial(7));
    let changes = suspects.record_cut(cut(9, RunProgress::Begun, &[7], later), later);
    suspects.end_trial(7);
    assert_eq!(changes.as_slice(), [PartChange::Blamed(7)]);
    assert_eq!(suspects.policy(&[7], later), PartPolicy::Reject(7));
    let forgotten = later + Duration::from_secs(8 * 3_600);
    suspects.remove_expired(forgotten);
    assert_eq!(suspects.policy(&[7], forgotten), PartPolicy::Normal);
}

/// Guards against the blame of a part that another router knows to be sound.
#[test]
fn blame_contradicted_by_answer_elsewhere() {
    let (mut wrong, now) = suspects_after(3, RunProgress::Begun, &[7]);
    let mut right = PartSuspects::default();
    right.record_answered([7].into_iter(), now);
    assert!(right.merge(wrong.news(now), now).is_empty());
    let changes = wrong.merge(right.news(now), now);
    assert_eq!(changes.as_slice(), [PartChange::Cleared(7)]);
    assert_eq!(wrong.policy(&[7], now), PartPolicy::Normal);
}

/// A router that missed all crashes is told of old blame by any other.
#[test]
fn blame_told_to_late_router() {
    let mut known = PartSuspects::default();
    let start = Instant::now();
    for part in 0..12 {
        for server in 0..3 {
            known.record_cut(cut(part << 8 | server, RunProgress::Begun, &[part], start), start);
        }
    }
    let now = start + Duration::from_secs(3_600);
    known.remove_expired(now);
    let mut late = PartSuspects::default();
    for _ in 0..3 {
        late.merge(known.news(now), now);
    }
    assert!((0..12).all(|part| late.policy(&[part], now) == PartPolicy::Reject(part)));
}

/// State and messages stay small, whatever crashes.
#[test]
fn state_and_news_bounded() {
    let mut suspects = PartSuspects::default();
    let start = Instant::now();
    for number in 0..20_000 {
        let at = start + Duration::from_millis(number);
        let parts = [number / 3, 1_000_000 + number];
        suspects.record_cut(cut(number, RunProgress::Begun, &parts, at), at);
        suspects.record_answered([2_000_000 + number, number / 7].into_iter(), at);
    }
    let now = start + Duration::from_secs(20);
    assert!(suspects.blamed().count() <= 256);
    let news = suspects.news(now);
    assert!(news.runs.len() <= 24 && news.answered.len() <= 16 && news.blamed.len() <= 12);
}
