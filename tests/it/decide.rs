//! Tests of placement and of the chat table.

use std::sync::Arc;

use filberttiller::decide::{ChatPlace, ChatTable, Engine, PlaceQuery, SentTokens, combine, place};
use proptest::prelude::*;
use rstest::rstest;

/// Load of an engine in most tests, in tokens.
const LOAD: u64 = 100_000;

fn engine(index: u64, reported: u64) -> Engine {
    Engine {
        id: combine(3, index),
        incarnation: 1,
        weight: 1.0,
        leaving: false,
        reported,
        sent: Arc::new(SentTokens::default()),
    }
}

fn engines(loads: &[u64]) -> Vec<Engine> {
    loads.iter().enumerate().map(|(i, load)| engine(i as u64, *load)).collect()
}

fn query(key: u64) -> PlaceQuery<'static> {
    PlaceQuery { key, hint: None, cost: 900, warm_cost: 300, bound: 1.25, attempted: &[] }
}

fn at_home(key: u64, home: &Engine) -> PlaceQuery<'static> {
    PlaceQuery { hint: Some((home.id, home.incarnation)), ..query(key) }
}

/// Returns the id of the chosen engine.
fn chosen(engines: &[Engine], query: &PlaceQuery<'_>) -> Option<u64> {
    place(engines, query).map(|it| engines[it.index].id)
}

/// Returns the id of the engine with the highest score, computing all scores.
fn highest(engines: &[Engine], query: &PlaceQuery<'_>) -> Option<u64> {
    let open: Vec<&Engine> = engines.iter().filter(|it| !it.leaving).collect();
    let tokens: u64 = open.iter().map(|it| it.tokens()).sum();
    let mean = tokens as f64 / open.iter().map(|it| it.weight).sum::<f64>();
    let limit = mean * (1.0 + 0.4 * (query.bound - 1.0));
    let score = |it: &Engine| {
        let unit = ((combine(query.key, it.id) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
        let capacity = limit * it.weight - it.tokens() as f64;
        -capacity.max((mean * 1e-6).max(1e-6)) / unit.ln()
    };
    open.into_iter().max_by(|a, b| score(a).total_cmp(&score(b))).map(|it| it.id)
}

proptest! {
    #[test]
    fn place_same_on_all_routers(
        loads in prop::collection::vec(0..2 * LOAD, 1..30),
        key: u64,
        rotation in 0usize..30,
    ) {
        let one = engines(&loads);
        let mut other = engines(&loads);
        other.rotate_left(rotation % loads.len());
        prop_assert_eq!(chosen(&one, &query(key)), chosen(&other, &query(key)));
    }

    #[test]
    fn place_chooses_the_highest_of_all_scores(
        fleet in prop::collection::vec((0..2 * LOAD, 1u64..200, 0u64..8, 0..LOAD), 1..120),
        key: u64,
    ) {
        let mut engines = engines(&[0]);
        for (i, (load, weight, leaving, sent)) in fleet.into_iter().enumerate() {
            let it = engine(i as u64 + 1, load * weight);
            it.sent.add(sent);
            engines.push(Engine { weight: weight as f64, leaving: leaving == 0, ..it });
        }
        prop_assert_eq!(chosen(&engines, &query(key)), highest(&engines, &query(key)));
    }

    #[test]
    fn place_moves_only_chats_of_a_leaving_engine(
        count in 2usize..40,
        gone in 0usize..40,
        keys in prop::collection::vec(any::<u64>(), 1..50),
    ) {
        let before = engines(&vec![LOAD; count]);
        let mut after = before.clone();
        let gone = gone % count;
        after[gone].leaving = true;
        for key in keys {
            let old = chosen(&before, &query(key)).unwrap();
            let new = chosen(&after, &query(key)).unwrap();
            prop_assert!(new != before[gone].id);
            prop_assert!(old == before[gone].id || new == old);
        }
    }

    #[test]
    fn place_never_chooses_closed_engines(
        leaving in prop::collection::vec(any::<bool>(), 1..20),
        key: u64,
        hinted in 0usize..20,
    ) {
        let mut all = engines(&vec![LOAD; leaving.len()]);
        for (it, leaves) in all.iter_mut().zip(&leaving) {
            it.leaving = *leaves;
        }
        let attempted = [key as usize % leaving.len()];
        let home = &all[hinted % leaving.len()];
        let query = PlaceQuery { attempted: &attempted, ..at_home(key, home) };
        let choice = place(&all, &query);
        let open = (0..leaving.len()).any(|i| !leaving[i] && i != attempted[0]);
        prop_assert_eq!(choice.is_some(), open);
        if let Some(it) = choice {
            prop_assert!(!leaving[it.index] && it.index != attempted[0]);
        }
    }

    #[test]
    fn place_gives_no_chat_to_an_engine_above_the_bound(
        loads in prop::collection::vec(LOAD / 2..2 * LOAD, 2..30),
        key: u64,
        hinted in 0usize..30,
    ) {
        let all = engines(&loads);
        let mean = loads.iter().sum::<u64>() as f64 / loads.len() as f64;
        let limit = mean * 1.25;
        // One request fits into the slack above the mean, so that some engine can take it.
        let home = &all[hinted % loads.len()];
        let choice = place(&all, &at_home(key, home)).unwrap();
        prop_assert!(loads[choice.index] as f64 + 300.0 <= limit, "{choice:?} of {loads:?}");
    }
}

#[test]
fn place_fills_evenly_from_one_report() {
    let all = engines(&[LOAD; 20]);
    for key in 0..20_000 {
        let choice = place(&all, &query(combine(key, 5))).unwrap();
        all[choice.index].sent.add(900);
    }
    let loads: Vec<u64> = all.iter().map(Engine::tokens).collect();
    let mean = loads.iter().sum::<u64>() / 20;
    let max = *loads.iter().max().unwrap();
    assert!(max * 4 <= mean * 5, "{loads:?}");
}

#[test]
fn place_spreads_routers_with_one_stale_report() {
    let mut loads = [LOAD; 20];
    loads[7] = LOAD / 2;
    let mut chosen = [0u64; 20];
    for router in 0..400 {
        let view = engines(&loads);
        chosen[place(&view, &query(combine(router, 6))).unwrap().index] += 1;
    }
    assert!(chosen[7] > 20, "the least loaded engine gets more than an equal share: {chosen:?}");
    assert!(chosen[7] < 200, "the routers do not all choose it: {chosen:?}");
}

#[rstest]
#[case::below_the_mean(LOAD - 1, true)]
#[case::within_the_slack(LOAD * 110 / 100, true)]
#[case::far_above(LOAD * 140 / 100, false)]
fn place_keeps_a_chat_at_home(#[case] load: u64, #[case] stays: bool) {
    let mut loads = [LOAD; 20];
    loads[4] = load;
    let all = engines(&loads);
    let choice = place(&all, &at_home(1, &all[4])).unwrap();
    assert_eq!(choice.index == 4, stays);
    assert_eq!(choice.spilled, !stays);
}

#[test]
fn place_ignores_a_hint_of_another_incarnation() {
    let all = engines(&[LOAD; 20]);
    for key in 0..200 {
        let old = PlaceQuery { hint: Some((all[4].id, 0)), ..query(key) };
        assert_eq!(place(&all, &old), place(&all, &query(key)));
    }
}

#[test]
fn place_spill_is_deterministic() {
    let mut loads = [LOAD; 20];
    loads[4] = 2 * LOAD;
    for key in 0..200 {
        let (one, other) = (engines(&loads), engines(&loads));
        let first = place(&one, &at_home(key, &one[4])).unwrap();
        assert!(first.spilled);
        assert_eq!(place(&other, &at_home(key, &other[4])), Some(first));
    }
}

#[test]
fn place_avoids_engines_that_refused_connections() {
    let all = engines(&[LOAD; 5]);
    all[0].sent.mark_down();
    all[1].sent.mark_down();
    for key in 0..200 {
        assert!(place(&all, &query(key)).unwrap().index > 1);
    }
    all[0].sent.record_report();
    assert!((0..200).any(|key| place(&all, &query(key)).unwrap().index == 0));
}

#[test]
fn place_uses_down_engines_when_most_are_down() {
    let all = engines(&[LOAD; 5]);
    all[..3].iter().for_each(|it| it.sent.mark_down());
    assert!((0..200).any(|key| place(&all, &query(key)).unwrap().index < 3));
}

#[test]
fn place_gives_idle_engines_one_request_each() {
    let all = engines(&[0; 6]);
    for key in 0..6 {
        let choice = place(&all, &query(combine(key, 8))).unwrap();
        all[choice.index].sent.add(900);
    }
    let loads: Vec<u64> = all.iter().map(Engine::tokens).collect();
    assert_eq!(loads, [900; 6]);
}

#[test]
fn sent_tokens_unreported_after_reports() {
    let sent = SentTokens::default();
    sent.add(100);
    assert_eq!(sent.unreported(), 100);
    sent.record_report();
    assert_eq!(sent.unreported(), 50);
    sent.record_report();
    assert_eq!(sent.unreported(), 0);
    sent.add(40);
    sent.remove(130);
    assert_eq!(sent.unreported(), 10);
}

#[test]
fn chat_table_keeps_the_newest_of_a_set() {
    let table = ChatTable::new(64);
    let place = |engine| ChatPlace { engine, incarnation: 1, tokens: 10 };
    for key in 0..1_000 {
        table.set(key << 8, place(key));
        assert_eq!(table.get(key << 8), Some(place(key)));
    }
    let known = || (0..1_000).filter(|key| table.get(key << 8).is_some()).count();
    let count = known();
    assert!((1..=64).contains(&count), "{count}");
    table.set(999 << 8, place(7));
    assert_eq!(table.get(999 << 8), Some(place(7)));
    assert_eq!(known(), count);
}
