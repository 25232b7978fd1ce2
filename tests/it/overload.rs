//! Load far above what servers can take. Pattern: a burst of three times the usual
//! while a third of the servers is lost (`deploy/days/overload.toml`).

use std::collections::VecDeque;
use std::time::Duration;

use filberttiller::decide::{Candidate, LoadBound, ServiceLoad, max_in_flight, pick};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const SLOTS: u32 = 24;
const SERVERS: usize = 6;
const OBJECTIVE: Duration = Duration::from_millis(300);
/// Time that a request holds its slot.
const HOLD_MS: u64 = 1_000;
const BOUND: LoadBound = LoadBound { factor: 1.5, extra: 2.25 };

#[rstest]
#[case::unknown_time(None, 36)]
#[case::short_requests(Some(50), 96)]
#[case::as_long_as_objective(Some(300), 36)]
#[case::long_requests(Some(1_000), 28)]
#[case::very_long_requests(Some(60_000), 27)]
fn most_held_by_time(#[case] hold: Option<u64>, #[case] most: u32) {
    assert_eq!(max_in_flight(SLOTS, OBJECTIVE, hold.map(Duration::from_millis)), most);
}

#[test]
fn pace_share_falls_and_returns() {
    let mut pace = ServiceLoad::default();
    pace.record_service_time(Duration::from_secs(1));
    let whole = pace.max_in_flight(SLOTS, OBJECTIVE);
    (0..200).for_each(|_| pace.record_response(true, 11, SLOTS));
    assert_eq!(
        pace.max_in_flight(SLOTS, OBJECTIVE),
        whole,
        "servers that are half empty are not full"
    );
    (0..200).for_each(|_| pace.record_response(true, 12, SLOTS));
    let least = pace.max_in_flight(SLOTS, OBJECTIVE);
    assert!(least < whole && least * 2 > SLOTS, "over half of the slots stay in use: {least}");
    (0..400).for_each(|_| pace.record_response(false, 12, SLOTS));
    assert_eq!(pace.max_in_flight(SLOTS, OBJECTIVE), whole);
    (0..1_000).for_each(|at| pace.record_response(at % 20 == 0, 30, SLOTS));
    assert_eq!(pace.max_in_flight(SLOTS, OBJECTIVE), whole, "a few late answers are no overload");
}

/// The more requests find no room, the later callers come back, spread over time.
#[test]
fn pace_come_back_by_refusals() {
    let (mut pace, left) = (ServiceLoad::default(), Duration::from_secs(9));
    assert_eq!(pace.retry_after(left, 1.0), Duration::from_millis(100), "a moment's lack of room");
    (0..1_000).for_each(|_| pace.record_selection(false));
    let (first, last) = (pace.retry_after(left, 0.0), pace.retry_after(left, 1.0));
    assert!(last <= left / 3, "callers heed no more than a third of their time: {last:?}");
    assert!(first * 2 <= last + Duration::from_millis(1) && first > Duration::from_secs(1));
    (0..1_000).for_each(|_| pace.record_selection(true));
    assert_eq!(pace.retry_after(left, 1.0), Duration::from_millis(100));
}

/// What is admitted for 8 s of twice the load that the servers can take: how many
/// began in time, how many late, and how many were refused.
fn play(seed: u64) -> (u32, u32, u32) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut pace = ServiceLoad::default();
    // For each server, when its requests end, in order; those beyond the slots wait.
    let mut ends: Vec<VecDeque<u64>> = vec![VecDeque::new(); SERVERS];
    let (mut timely, mut late, mut refused) = (0, 0, 0);
    for now in 0..8_000u64 {
        ends.iter_mut().for_each(|it| it.retain(|end| *end > now));
        // 288 requests a second; the servers end 144.
        if !random.random_bool(0.288) {
            continue;
        }
        let most = pace.max_in_flight(SLOTS, OBJECTIVE);
        let candidate = |(at, held): (usize, &VecDeque<u64>)| Candidate {
            hash: at as u64 + 1,
            load: held.len() as u32,
            slots: SLOTS,
            max_load: most,
            closed: false,
        };
        let all: Vec<Candidate> = ends.iter().enumerate().map(candidate).collect();
        let key = random.random_range(0..50);
        let chosen = pick(&all, Some(key), &BOUND, now);
        pace.record_selection(chosen.is_some());
        let Some(at) = chosen else {
            refused += 1;
            continue;
        };
        let held = &mut ends[at];
        let waits = held.len() >= SLOTS as usize;
        let begins = if waits { held[held.len() - SLOTS as usize] } else { now };
        held.push_back(begins + HOLD_MS);
        let in_time = Duration::from_millis(begins - now) <= OBJECTIVE;
        timely += u32::from(in_time);
        late += u32::from(!in_time);
        pace.record_response(!in_time, held.len() as u32, SLOTS);
        if !waits {
            pace.record_service_time(Duration::from_millis(HOLD_MS));
        }
    }
    (timely, late, refused)
}

/// Half of the requests are too many: those that are served begin in time, the others
/// are refused at once, and no slot falls idle for it.
#[rstest]
fn burst_served_in_time(#[values(1, 2, 3)] seed: u64) {
    let (timely, late, refused) = play(seed);
    let capacity = 144 * 8;
    assert!(late * 10 <= timely, "{late} late, {timely} in time");
    assert!(timely * 10 >= capacity * 9, "{timely} of {capacity} in time");
    assert!(refused > capacity / 2, "{refused} refused");
}
