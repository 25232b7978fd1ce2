//! Tests of the decisions on requests to a service that is short of room.

use std::time::{Duration, Instant};

use filberttiller::decide::{
    Lane, NoWait, PeerDemand, RankDemand, RankRoom, RefusedCallers, ReturnTimes, Shortage,
    Standing, UsualDeadline, WaitQuery, WaitQueue, may_wait,
};
use rstest::rstest;
use smallvec::smallvec;

const MS: Duration = Duration::from_millis(1);

fn lane(rank: u8) -> Lane {
    Lane::new(rank, Standing::New)
}

fn query(standing: Standing, ahead: usize, rate: Option<f64>) -> WaitQuery {
    WaitQuery {
        standing,
        objective: 500 * MS,
        elapsed: Duration::ZERO,
        remaining: 10_000 * MS,
        ahead,
        rate,
    }
}

fn pop_all<T>(queue: &mut WaitQueue<T>) -> Vec<T> {
    std::iter::from_fn(|| queue.pop()).collect()
}

// Guards against the order of arrival among requests of unequal urgency.
#[test]
fn wait_queue_urgent_first() {
    let mut queue = WaitQueue::default();
    for (rank, standing, name) in [
        (2, Standing::New, "least"),
        (1, Standing::New, "new"),
        (1, Standing::Repeated, "repeated"),
        (1, Standing::Returned, "returned"),
        (0, Standing::New, "urgent"),
        (2, Standing::Resumed, "resumed"),
    ] {
        queue.push(Lane::new(rank, standing), 0, name);
    }
    let order = ["resumed", "urgent", "returned", "new", "repeated", "least"];
    assert_eq!(pop_all(&mut queue), order);
}

// Load: one organisation asks for six times as much as the others.
#[test]
fn wait_queue_organisations_take_turns() {
    let mut queue = WaitQueue::default();
    for at in 0..60 {
        queue.push(lane(1), 1, (1, at));
    }
    for at in 0..10 {
        queue.push(lane(1), 2, (2, at));
        queue.push(lane(1), 3, (3, at));
    }
    assert!(queue.ahead(lane(1), 4) <= 6, "a further organisation waits for a turn, not for all");
    let first: Vec<_> = (0..30).filter_map(|_| queue.pop()).collect();
    for organisation in 1..=3 {
        assert_eq!(first.iter().filter(|it| it.0 == organisation).count(), 10);
    }
}

// Load: urgent requests without end.
#[test]
fn wait_queue_less_urgent_does_not_starve() {
    let mut queue = WaitQueue::default();
    for _ in 0..20 {
        queue.push(lane(1), 0, 1);
        queue.push(lane(2), 0, 2);
    }
    let served: Vec<_> = (0..180)
        .filter_map(|_| {
            queue.push(lane(0), 0, 0);
            queue.pop()
        })
        .collect();
    let count = |rank| served.iter().filter(|it| **it == rank).count();
    assert!(count(1) >= 9 && count(2) >= 9, "{} and {}", count(1), count(2));
    assert!(count(0) >= 150, "{}", count(0));
}

// Failure: callers leave while they wait.
#[test]
fn wait_queue_removed_keeps_counts() {
    let mut queue = WaitQueue::default();
    let keys: Vec<_> = (0..100u64).map(|at| queue.push(lane(1), at % 7, at)).collect();
    for key in &keys[..90] {
        assert!(queue.remove(*key).is_some());
    }
    assert_eq!(queue.remove(keys[0]), None);
    assert_eq!((queue.len(), queue.ahead(lane(1), 99)), (10, 7));
    assert_eq!(pop_all(&mut queue).len(), 10);
    assert_eq!(queue.ahead(lane(2), 1), 0);
}

// A request that was woken in vain does not lose its place.
#[test]
fn wait_queue_restored_goes_first() {
    let mut queue = WaitQueue::default();
    let key = queue.push(lane(1), 1, "first");
    queue.push(lane(1), 2, "second");
    assert_eq!(queue.pop(), Some("first"));
    queue.restore(key, 1, "first");
    assert_eq!(pop_all(&mut queue), ["first", "second"]);
}

// Guards against waits in vain: what the rate does not promise is refused at once.
#[rstest]
#[case::new_in_time(query(Standing::New, 3, Some(40.0)), Ok(200 * MS))]
#[case::new_too_late(query(Standing::New, 20, Some(40.0)), Err(NoWait::TooLong))]
#[case::returned_has_more_time(query(Standing::Returned, 20, Some(40.0)), Ok(2_000 * MS))]
#[case::no_rate(query(Standing::New, 0, None), Err(NoWait::UnknownRate))]
#[case::rate_zero(query(Standing::New, 0, Some(0.0)), Err(NoWait::UnknownRate))]
#[case::rate_nonsense(query(Standing::New, 0, Some(f64::NAN)), Err(NoWait::UnknownRate))]
#[case::repeated(query(Standing::Repeated, 0, Some(40.0)), Err(NoWait::Repeated))]
fn may_wait_cases(#[case] query: WaitQuery, #[case] expected: Result<Duration, NoWait>) {
    assert_eq!(may_wait(&query), expected);
}

#[test]
fn may_wait_within_deadline() {
    let short = WaitQuery { remaining: 50 * MS, ..query(Standing::New, 0, Some(40.0)) };
    assert_eq!(may_wait(&short), Ok(50 * MS));
}

fn demand(rank: u8, offered: f64, refused: f64) -> RankDemand {
    RankDemand::checked(rank, offered, refused).unwrap()
}

fn room_after(rows: &[RankDemand], seconds: u32, now: Instant) -> RankRoom {
    let mut room = RankRoom::default();
    for step in 0..=10 * seconds {
        room.update(rows.iter(), now + step * 100 * MS);
    }
    room
}

// Load: a third of the demand finds no room, whatever its rank.
#[test]
fn rank_room_less_urgent_yields() {
    let rows = [demand(0, 60.0, 20.0), demand(1, 60.0, 20.0), demand(2, 60.0, 20.0)];
    let room = room_after(&rows, 5, Instant::now());
    assert_eq!(room.share(0), 1.0);
    assert!(room.share(1) < 0.6 && room.share(2) < 0.6);
}

// Guards against starvation: a rank that is hardly served yields to no other.
#[test]
fn rank_room_hardly_served_gets_room() {
    let rows = [demand(0, 60.0, 6.0), demand(2, 60.0, 50.0)];
    let room = room_after(&rows, 5, Instant::now());
    assert_eq!(room.waiting_rank(2), 0);
}

#[test]
fn rank_room_returns_after_shortage() {
    let now = Instant::now();
    let mut room = room_after(&[demand(0, 60.0, 20.0), demand(1, 60.0, 20.0)], 5, now);
    assert!(room.is_reduced());
    let calm = [demand(0, 60.0, 0.0), demand(1, 60.0, 0.0)];
    for step in 0..100 {
        room.update(calm.iter(), now + (5_100 + step * 100) * MS);
    }
    assert!(!room.is_reduced());
}

// Calm: nothing is told and nothing yields.
#[test]
fn shortage_calm_changes_nothing() {
    let now = Instant::now();
    let mut shortage = Shortage::new(now);
    for at in 0..100 {
        shortage.record((at % 3) as u8, false, now + at * 10 * MS);
        assert_eq!(shortage.share(lane((at % 3) as u8), now + at * 10 * MS), 1.0);
    }
    assert_eq!(shortage.news(now + 1_000 * MS), None);
}

// Failure: a router whose callers find room learns of the shortage from others, and forgets one
// that dies or freezes.
#[test]
fn shortage_of_other_routers_counts_until_they_are_silent() {
    let now = Instant::now();
    let mut shortage = Shortage::new(now);
    for router in 0..30 {
        shortage.record_peer(router, smallvec![demand(0, 5.0, 3.0)], now);
    }
    for at in 0..20 {
        shortage.record(2, false, now + at * 100 * MS);
        shortage.share(lane(2), now + at * 100 * MS);
    }
    let at = now + 2_000 * MS;
    assert!(shortage.share(lane(2), at) < 0.8);
    assert_eq!(shortage.view(lane(2), at).peers_age, Some(2_000 * MS));
    let later = at + 5_000 * MS;
    for step in 0..100 {
        shortage.share(lane(2), later + step * 100 * MS);
    }
    assert_eq!(shortage.share(lane(2), later + 10_000 * MS), 1.0);
    assert_eq!(shortage.view(lane(2), later + 10_000 * MS).peers_age, None);
}

// Failure: half of the routers are gone; the others' demand leads to the same order.
#[test]
fn peer_demand_half_gone() {
    let now = Instant::now();
    let mut peers = PeerDemand::default();
    for router in 0..98 {
        let at = if router < 49 { now } else { now + 4_000 * MS };
        peers.record(router, smallvec![demand(0, 5.0, 1.0)], at);
    }
    assert_eq!(peers.rows().count(), 98);
    peers.remove_expired(now + 6_000 * MS);
    assert_eq!(peers.rows().count(), 49);
    assert_eq!(peers.age(now + 6_000 * MS), Some(2_000 * MS));
}

// Failure: another router tells nonsense.
#[rstest]
#[case::negative(5.0, -1.0)]
#[case::more_than_all(5.0, 6.0)]
#[case::not_a_number(f64::NAN, 0.0)]
#[case::refused_not_a_number(5.0, f64::NAN)]
#[case::infinite(f64::INFINITY, 1.0)]
#[case::negative_both(-3.0, -5.0)]
fn rank_demand_nonsense(#[case] offered: f64, #[case] refused: f64) {
    assert_eq!(RankDemand::checked(0, offered, refused), None);
}

// Load: more return than there is room for; each gets a time of its own, urgent ones before.
#[test]
fn return_times_spread_by_rank() {
    let now = Instant::now();
    let mut times = ReturnTimes::default();
    let mut book = |rank| times.book(rank, 10_000 * MS, 10.0, 0.5, now);
    let less: Vec<_> = (0..5).map(|_| book(2)).collect();
    let urgent: Vec<_> = (0..5).map(|_| book(0)).collect();
    assert!(less.is_sorted() && urgent.is_sorted());
    assert!(less.windows(2).all(|it| it[1] - it[0] >= 200 * MS), "{less:?}");
    assert_eq!(less, urgent, "less urgent ones do not delay urgent ones");
    let after = book(2);
    assert!(after > urgent[4], "{after:?}");
}

// Callers honour at most a third of their remaining time.
#[rstest]
#[case::little_room(0.01)]
#[case::no_room(0.0)]
#[case::much_room(1_000.0)]
fn return_times_bounded(#[case] rate: f64) {
    let now = Instant::now();
    let mut times = ReturnTimes::default();
    for at in 0..1_000 {
        let time = times.book(1, 3_000 * MS, rate, f64::from(at % 10) / 10.0, now);
        assert!(time >= 100 * MS && time <= 1_000 * MS, "{time:?}");
    }
}

// A caller that waited goes before newcomers; one that repeats at once does not.
#[rstest]
#[case::first(12_000, Standing::New)]
#[case::at_once(11_950, Standing::New)]
#[case::as_told(11_500, Standing::Returned)]
fn standing_of_caller(#[case] stated: u32, #[case] expected: Standing) {
    let now = Instant::now();
    let mut usual = UsualDeadline::default();
    usual.record(12_000 * MS, now);
    let usual = usual.record(stated * MS, now + MS);
    assert_eq!(Standing::of_caller(stated * MS, usual), expected);
}

// Callers of a route state a shorter time from some moment on.
#[test]
fn usual_deadline_learnt_anew() {
    let now = Instant::now();
    let mut usual = UsualDeadline::default();
    usual.record(12_000 * MS, now);
    assert_eq!(usual.record(3_000 * MS, now + 10_000 * MS), 12_000 * MS);
    assert_eq!(usual.record(3_000 * MS, now + 31_000 * MS), 3_000 * MS);
}

// Load: some callers repeat at once and often.
#[test]
fn refused_callers_early_ones_known() {
    let now = Instant::now();
    let mut callers = RefusedCallers::default();
    for caller in 0..10_000 {
        callers.record(caller, now + 1_000 * MS, now);
    }
    assert!(callers.is_early(9_999, now + 10 * MS));
    assert!(!callers.is_early(9_999, now + 1_000 * MS));
    assert!(!callers.is_early(0, now), "the oldest make place for others");
}
