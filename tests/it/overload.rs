//! Tests of load far above the capacity of the servers, as in a burst of three times the
//! typical load while a third of the servers is lost (`deploy/days/overload.toml`).

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use filberttiller::decide::{
    Candidate, LoadBound, ReturnTimes, ServiceLoad, USUAL_PACE, max_in_flight, pick,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Requests that a server runs at the same time.
const SLOTS: u32 = 24;
const SERVERS: usize = 6;
/// Time within which a response should begin.
const OBJECTIVE: Duration = Duration::from_millis(300);
/// Time that a request occupies its slot.
const SERVICE_MS: u64 = 1_000;
/// A server is chosen by key while its load is below 1.5 times the mean load plus 2.25
/// requests.
const BOUND: LoadBound = LoadBound { factor: 1.5, extra: 2.25 };

#[rstest]
#[case::unknown_time(None, 36)]
#[case::short_requests(Some(50), 96)]
#[case::as_long_as_objective(Some(300), 36)]
#[case::long_requests(Some(1_000), 28)]
#[case::very_long_requests(Some(60_000), 27)]
fn max_in_flight_by_service_time(#[case] time_ms: Option<u64>, #[case] max: u32) {
    assert_eq!(max_in_flight(SLOTS, OBJECTIVE, time_ms.map(Duration::from_millis)), max);
}

#[test]
fn service_load_share_falls_and_recovers() {
    let mut load = ServiceLoad::default();
    load.record_service_time(Duration::from_secs(1));
    let full = load.max_in_flight(SLOTS, OBJECTIVE);
    (0..200).for_each(|_| load.record_response(true, 11, SLOTS));
    assert_eq!(
        load.max_in_flight(SLOTS, OBJECTIVE),
        full,
        "servers with more than half of their slots free are not overloaded"
    );
    (0..200).for_each(|_| load.record_response(true, 12, SLOTS));
    let min = load.max_in_flight(SLOTS, OBJECTIVE);
    assert!(min < full && min * 2 > SLOTS, "over half of the slots stay in use: {min}");
    (0..400).for_each(|_| load.record_response(false, 12, SLOTS));
    assert_eq!(load.max_in_flight(SLOTS, OBJECTIVE), full);
    (0..1_000).for_each(|at| load.record_response(at % 20 == 0, 30, SLOTS));
    assert_eq!(load.max_in_flight(SLOTS, OBJECTIVE), full, "a few late responses are no overload");
}

/// The more requests are refused, the longer the retry delay, with jitter.
#[test]
fn return_times_grow_with_refusals() {
    let (mut times, remaining) = (ReturnTimes::default(), Duration::from_secs(9));
    let now = Instant::now();
    let mut book = |jitter, now| times.book(1, remaining, 10.0, jitter, now);
    assert_eq!(book(0.0, now), Duration::from_millis(100), "no refusal so far");
    for _ in 0..1_000 {
        book(0.5, now);
    }
    let (first, last) = (book(0.0, now), book(1.0, now));
    assert!(last <= remaining / 3, "callers wait for at most a third of their time: {last:?}");
    assert!(first * 2 <= last + Duration::from_millis(1) && first > Duration::from_secs(1));
    assert_eq!(book(0.0, now + remaining), Duration::from_millis(100));
}

/// Simulates 8 s of twice the load that the servers can take. Returns how many requests
/// began in time, how many began late, and how many were refused.
fn simulate(seed: u64) -> (u32, u32, u32) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut load = ServiceLoad::default();
    // For each server, the times at which its requests end, in order. Requests beyond the
    // slots wait.
    let mut ends: Vec<VecDeque<u64>> = vec![VecDeque::new(); SERVERS];
    let (mut on_time, mut late, mut refused) = (0, 0, 0);
    for now in 0..8_000u64 {
        ends.iter_mut().for_each(|it| it.retain(|end| *end > now));
        // 288 requests a second arrive; the servers finish 144.
        if !random.random_bool(0.288) {
            continue;
        }
        let max_load = load.max_in_flight(SLOTS, OBJECTIVE);
        let candidate = |(at, in_flight): (usize, &VecDeque<u64>)| Candidate {
            hash: at as u64 + 1,
            load: in_flight.len() as u32,
            slots: SLOTS,
            pace: USUAL_PACE,
            max_load,
            closed: false,
        };
        let all: Vec<Candidate> = ends.iter().enumerate().map(candidate).collect();
        let key = random.random_range(0..50);
        let chosen = pick(&all, Some(key), 0.0, &BOUND, now);
        let Some(at) = chosen else {
            refused += 1;
            continue;
        };
        let in_flight = &mut ends[at];
        let is_queued = in_flight.len() >= SLOTS as usize;
        let start_ms = if is_queued { in_flight[in_flight.len() - SLOTS as usize] } else { now };
        in_flight.push_back(start_ms + SERVICE_MS);
        let in_time = Duration::from_millis(start_ms - now) <= OBJECTIVE;
        on_time += u32::from(in_time);
        late += u32::from(!in_time);
        load.record_response(!in_time, in_flight.len() as u32, SLOTS);
        if !is_queued {
            load.record_service_time(Duration::from_millis(SERVICE_MS));
        }
    }
    (on_time, late, refused)
}

/// The load is twice the capacity. The requests that begin in time make up at least 90 %
/// of the capacity, at most a tenth as many begin late, and the others are refused at once.
#[rstest]
fn burst_served_in_time(#[values(1, 2, 3)] seed: u64) {
    let (on_time, late, refused) = simulate(seed);
    let capacity = 144 * 8;
    assert!(late * 10 <= on_time, "{late} late, {on_time} in time");
    assert!(on_time * 10 >= capacity * 9, "{on_time} of {capacity} in time");
    assert!(refused > capacity / 2, "{refused} refused");
}
