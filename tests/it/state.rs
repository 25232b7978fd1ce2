//! Tickets, the fold, and publishing with lost replies and concurrent operators.

use std::sync::Arc;
use std::time::Duration;

use filberttiller::backend::{ControlHttp, LogClient};
use filberttiller::controllers::TICKET_STREAM;
use filberttiller::demo::{Fleet, FleetOptions};
use filberttiller::state::{InForce, Kind, MAX_ACCEPTED, Rejection, Ticket};
use filberttiller::wire::{WireInForce, parse_ticket};
use proptest::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};
use standins::log::Faults;

fn body(number: u64, name: &str, pool: &str) -> Value {
    json!({ "version": 1, "number": number, "objects": [
        { "kind": "model", "name": name, "spec": { "pool": pool } }] })
}

fn ticket(number: u64, name: &str, pool: &str) -> Ticket {
    parse_ticket(&body(number, name, pool).to_string()).unwrap().1
}

fn folded(records: &[Ticket]) -> InForce {
    let mut state = InForce::default();
    for (offset, it) in records.iter().enumerate() {
        assert!(state.fold(offset as u64, Ok(it.clone())));
    }
    state
}

#[test]
fn fold_accepts_higher_number() {
    let state = folded(&[ticket(1, "m", "a"), ticket(2, "m", "b")]);
    assert_eq!(state.model("m").unwrap().pool, "b");
}

#[rstest]
#[case::lower_number(vec![ticket(2, "m", "b"), ticket(1, "m", "a")], "already set by ticket 2")]
#[case::number_used(vec![ticket(1, "m", "a"), ticket(1, "m", "b")], "already used by another ticket")]
#[case::number_used_elsewhere(vec![ticket(1, "m", "a"), ticket(1, "n", "a")], "at offset 0")]
fn fold_rejects_conflicting_ticket(#[case] records: Vec<Ticket>, #[case] text: &str) {
    let state = folded(&records);
    assert_eq!(state.model("m"), folded(&records[..1]).model("m"));
    let rejection = state.outcomes[&1].rejection.clone().unwrap();
    assert!(rejection.to_string().contains(text), "{rejection}");
}

#[test]
fn fold_reports_earlier_acceptance() {
    let first = ticket(1, "m", "a");
    let state = folded(&[first.clone(), first.clone(), ticket(2, "m", "b"), first]);
    assert_eq!(state.outcomes[&0].earlier, None);
    let again = state.outcomes[&1].earlier.clone().unwrap();
    assert_eq!((again.offset, again.replaced), (0, None));
    let late = state.outcomes[&3].earlier.clone().unwrap();
    assert!(matches!(late.replaced, Some(Rejection::Outdated { number: 2, .. })));
    assert_eq!(state.model("m").unwrap().pool, "b");
}

#[test]
fn fold_drops_lowest_numbers() {
    let max = MAX_ACCEPTED as u64;
    let records: Vec<_> = (1..=max + 5).map(|i| ticket(i, "m", "a")).collect();
    let mut state = folded(&records);
    assert_eq!((state.accepted.len(), state.floor), (MAX_ACCEPTED, 5));
    state.fold(state.next, Ok(ticket(3, "other", "a")));
    let rejection = state.outcomes[&(state.next - 1)].rejection.clone();
    assert_eq!(rejection, Some(Rejection::Forgotten { floor: 5 }));
    state.fold(state.next, Ok(records[10].clone()));
    assert!(state.outcomes[&(state.next - 1)].earlier.is_some());
}

#[test]
fn fold_ignores_record_after_gap() {
    let mut state = folded(&[ticket(1, "m", "a")]);
    assert!(!state.fold(2, Ok(ticket(3, "m", "c"))));
    assert_eq!((state.next, state.model("m").unwrap().pool.as_str()), (1, "a"));
}

/// One record of a generated stream. Number, object and content have few values, so
/// that numbers and objects conflict and tickets repeat.
fn record() -> impl Strategy<Value = Result<Ticket, String>> {
    prop_oneof![
        9 => (1..9u64, 0..4u8, 0..3u8)
            .prop_map(|(n, name, pool)| Ok(ticket(n, &format!("m{name}"), &format!("p{pool}")))),
        1 => Just(Err("at `objects`: missing".to_owned())),
    ]
}

/// Converts the state to its wire form and back, as a snapshot does.
fn snapshot_round_trip(state: &InForce) -> InForce {
    let text = serde_json::to_string(&WireInForce::from(state)).unwrap();
    serde_json::from_str::<WireInForce>(&text).unwrap().try_into().unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// Records delivered in any order, repeatedly and with snapshots in between, give
    /// the same state.
    #[test]
    fn fold_same_on_every_router(
        records in prop::collection::vec(record(), 1..40),
        order in prop::collection::vec((any::<prop::sample::Index>(), any::<bool>()), 0..200),
    ) {
        let mut direct = InForce::default();
        for (offset, it) in records.iter().enumerate() {
            direct.fold(offset as u64, it.clone());
        }
        let mut other = InForce::default();
        for (index, with_snapshot) in order {
            let offset = index.index(records.len());
            other.fold(offset as u64, records[offset].clone());
            if with_snapshot {
                other = snapshot_round_trip(&other);
            }
        }
        for (offset, it) in records.iter().enumerate() {
            other.fold(offset as u64, it.clone());
        }
        prop_assert_eq!(direct, other);
    }

    /// The number of an object never falls, and an object changes only with an
    /// accepted ticket.
    #[test]
    fn fold_never_lowers_number(records in prop::collection::vec(record(), 1..60)) {
        let mut state = InForce::default();
        for (offset, it) in records.into_iter().enumerate() {
            let before = state.clone();
            state.fold(offset as u64, it);
            let accepted = state.outcomes[&(offset as u64)].rejection.is_none();
            for (kind, name, old) in before.objects.iter() {
                let new = state.objects.get(kind, name).unwrap();
                prop_assert!(new.number >= old.number);
                prop_assert!(accepted || new == old);
            }
        }
    }
}

async fn small_fleet() -> Fleet {
    let options = FleetOptions { routers: 2, engines: 1, canaries: 0, ..FleetOptions::default() };
    Fleet::start(options).await.unwrap()
}

fn log_client(fleet: &Fleet) -> LogClient {
    let http = ControlHttp::new(fleet.http.clone(), Arc::default());
    LogClient::new(http, fleet.log.addr()).with_timeout(Duration::from_millis(200))
}

#[tokio::test]
async fn publish_survives_lost_reply() {
    let fleet = small_fleet().await;
    fleet.log.set_faults(Faults { lost_replies: 1, ..Faults::default() });
    let ticket = body(1, "m", "a");
    let offset = log_client(&fleet).append_with_retries(TICKET_STREAM, &ticket, 3).await.unwrap();
    assert_eq!(offset, 1);
    let done = |it: &Fleet| it.routers.iter().all(|r| r.shared().view.peek().state.next == 2);
    fleet.wait_until(done).await;
    for it in &fleet.routers {
        let state = &it.shared().view.peek().state;
        assert_eq!(state.outcomes[&1].earlier.as_ref().unwrap().offset, 0);
        assert_eq!(state.objects.get(Kind::Model, "m").unwrap().number, 1);
    }
}

#[tokio::test]
async fn publish_concurrently_same_state() {
    let fleet = small_fleet().await;
    let log = log_client(&fleet);
    let publishes = (0..20u64).map(|i| {
        let log = log.clone();
        async move {
            let ticket = body(i / 2 + 1, "m", &format!("pool-{i}"));
            log.append_with_retries(TICKET_STREAM, &ticket, 3).await.unwrap()
        }
    });
    futures_util::future::join_all(publishes).await;
    let done = |it: &Fleet| it.routers.iter().all(|r| r.shared().view.peek().state.next == 20);
    fleet.wait_until(done).await;
    let states: Vec<_> =
        fleet.routers.iter().map(|it| it.shared().view.peek().state.clone()).collect();
    assert_eq!(states[0], states[1]);
    let accepted = states[0].outcomes.values().filter(|it| it.rejection.is_none()).count();
    assert_eq!(accepted, states[0].accepted.len());
}
