//! Tests of the choice of a backend server for a relayed request.

use std::collections::HashSet;

use filberttiller::decide::{Candidate, LoadBound, USUAL_PACE, pick};

const BOUND: LoadBound = LoadBound { factor: 1.5, extra: 2.0 };

fn servers(loads: &[u32]) -> Vec<Candidate> {
    let candidate = |(at, load): (usize, &u32)| Candidate {
        hash: at as u64 * 7_919 + 1,
        load: *load,
        slots: 64,
        pace: USUAL_PACE,
        max_load: 96,
        closed: false,
    };
    loads.iter().enumerate().map(candidate).collect()
}

#[test]
fn pick_same_key_same_server() {
    let all = servers(&[3; 18]);
    let first = pick(&all, Some(42), 0.0, &BOUND, 0).unwrap();
    assert!((1..50).all(|seed| pick(&all, Some(42), 0.0, &BOUND, seed) == Some(first)));
    let spread: HashSet<_> = (0..500).map(|key| pick(&all, Some(key), 0.0, &BOUND, 0)).collect();
    assert_eq!(spread.len(), 18);
}

#[test]
fn pick_busy_home_spills_to_same_server() {
    let mut all = servers(&[4; 18]);
    let home = pick(&all, Some(42), 0.0, &BOUND, 0).unwrap();
    all[home].load = 30;
    let next = pick(&all, Some(42), 0.0, &BOUND, 0).unwrap();
    assert_ne!(next, home);
    assert_eq!(
        pick(&all, Some(42), 0.0, &BOUND, 9),
        Some(next),
        "all routers spill to the same server"
    );
}

/// When a server is added, only the keys that it takes over move.
#[test]
fn pick_join_moves_few() {
    let before = servers(&[3; 18]);
    let after = servers(&[3; 19]);
    let moved = (0..1_900).filter(|key| {
        pick(&before, Some(*key), 0.0, &BOUND, 0) != pick(&after, Some(*key), 0.0, &BOUND, 0)
    });
    let count = moved.count();
    assert!((50..150).contains(&count), "one in 19 is expected: {count} of 1,900");
}

#[test]
fn pick_least_loaded_without_key() {
    let all = servers(&[5, 2, 4]);
    assert!((0..20).all(|seed| pick(&all, None, 0.0, &BOUND, seed) == Some(1)));
    let even = servers(&[2, 2, 2]);
    let spread: HashSet<_> = (0..50).map(|seed| pick(&even, None, 0.0, &BOUND, seed)).collect();
    assert_eq!(spread.len(), 3, "ties are spread");
}

#[test]
fn pick_none_when_closed_or_full() {
    let mut all = servers(&[0, 0]);
    all.iter_mut().for_each(|it| it.closed = true);
    assert_eq!(pick(&all, Some(1), 0.0, &BOUND, 0), None);
    assert_eq!(pick(&servers(&[96, 96]), Some(1), 0.0, &BOUND, 0), None);
    assert_eq!(pick(&servers(&[96, 95]), Some(1), 0.0, &BOUND, 0), Some(1));
    assert_eq!(pick(&[], Some(1), 0.0, &BOUND, 0), None);
}

/// Guards against a burst on one key overloading its home server (day `hot_key`): 28 of
/// 100 requests of a kind have the same key. No server may get more than twice the mean
/// load and 3 requests.
#[test]
fn pick_hot_key_within_limit() {
    let mut all = servers(&[0; 18]);
    for request in 0..160u64 {
        let key = if request % 100 < 28 { 7 } else { request };
        let at = pick(&all, Some(key), 0.0, &BOUND, request).unwrap();
        let mean = all.iter().map(|it| it.load).sum::<u32>() as f64 / 18.0;
        assert!(f64::from(all[at].load) <= 2.0 * mean + 3.0);
        all[at].load += 1;
    }
    assert!(all.iter().filter(|it| it.load > 0).count() > 12);
}
