//! Spread of state: start-up, outages of the log, snapshots, gossip, budget.

use std::sync::Arc;
use std::time::Duration;

use filberttiller::backend::TOKEN_HEADER;
use filberttiller::clock::{Clock, ManualClock};
use filberttiller::controllers::{SNAPSHOT_STREAM, TICKET_STREAM};
use filberttiller::daemon::Daemon;
use filberttiller::demo::{Fleet, FleetOptions};
use filberttiller::events::Code;
use filberttiller::fleet::{Budget, LeavingMark, Purpose};
use filberttiller::wire::{GOSSIP_VERSION, Gossip, MemberStatus, WireMember, unpack_gossip};
use proptest::prelude::*;
use rstest::rstest;
use serde::Serialize;
use serde_json::{Value, json};
use standins::log::Faults;

use crate::support::empty_message;

fn options(routers: usize) -> FleetOptions {
    let mut options = FleetOptions { routers, engines: 1, canaries: 0, ..FleetOptions::default() };
    options.settings.traffic.threads = 1;
    options.settings.state_sync.gossip_every = Duration::from_millis(100);
    options.settings.state_sync.retry_every = Duration::from_millis(20);
    options.settings.state_sync.budget = bytesize::ByteSize::mib(1);
    options
}

fn ticket(number: u64, pool: &str) -> Value {
    json!({ "version": 1, "number": number, "objects": [
        { "kind": "model", "name": "assistant", "spec": { "pool": pool } }] })
}

async fn append(fleet: &Fleet, ticket: &Value) {
    let url = format!("http://{}/streams/{TICKET_STREAM}/records", fleet.log.addr());
    let sent = fleet.http.post(url).json(ticket).send().await.unwrap();
    assert!(sent.status().is_success());
}

fn log_out(fleet: &Fleet, out: bool) {
    fleet.log.set_faults(Faults { out, ..Faults::default() });
}

fn saw(router: &Daemon, code: Code) -> bool {
    router.shared().events.since(0).iter().any(|it| it.code == code.number())
}

fn pool(router: &Daemon) -> Option<String> {
    let view = router.shared().view.peek();
    view.state.model("assistant").map(|it| it.pool.clone())
}

#[tokio::test]
async fn ticket_reaches_routers_that_do_not_follow_log() {
    let fleet = Fleet::start(options(8)).await.unwrap();
    fleet.publish(&ticket(1, "a")).await.unwrap();
    let states: Vec<_> =
        fleet.routers.iter().map(|it| it.shared().view.peek().state.clone()).collect();
    assert!(states.windows(2).all(|it| it[0] == it[1]));
}

#[tokio::test]
async fn start_with_log_down_takes_state_from_peers() {
    let mut fleet = Fleet::start(options(2)).await.unwrap();
    fleet.publish(&ticket(1, "a")).await.unwrap();
    log_out(&fleet, true);
    fleet.add_router().unwrap();
    fleet.wait_until(|it| it.routers[2].shared().view.peek().ready).await;
    assert_eq!(pool(&fleet.routers[2]).as_deref(), Some("a"));
}

#[tokio::test]
async fn start_with_log_down_takes_long_state_in_parts() {
    let mut fleet = Fleet::start(options(2)).await.unwrap();
    let note = "x".repeat(4_000);
    for number in 1..=60 {
        let mut it = ticket(number, &format!("pool-{number}"));
        it["note"] = json!(note);
        append(&fleet, &it).await;
    }
    fleet.wait_until(|it| it.routers.iter().all(|r| pool(r).as_deref() == Some("pool-60"))).await;
    log_out(&fleet, true);
    fleet.add_router().unwrap();
    fleet.wait_until(|it| pool(&it.routers[2]).as_deref() == Some("pool-60")).await;
    assert!(saw(&fleet.routers[2], Code::StateFromPeer));
    let states = [0, 2].map(|i| fleet.routers[i].shared().view.peek().state.clone());
    assert_eq!(states[0].chain, states[1].chain);
    assert_eq!(states[0].objects, states[1].objects);
    assert_eq!(states[0].accepted, states[1].accepted);
}

#[tokio::test]
async fn start_without_log_and_peer_is_not_ready() {
    let mut fleet = Fleet::start(options(0)).await.unwrap();
    log_out(&fleet, true);
    fleet.add_router().unwrap();
    fleet.wait_until(|it| saw(&it.routers[0], Code::NoState)).await;
    let url = format!("http://{}/readyz", fleet.routers[0].control());
    assert_eq!(fleet.http.get(url).send().await.unwrap().status().as_u16(), 503);
    log_out(&fleet, false);
    fleet.publish(&ticket(1, "a")).await.unwrap();
    assert!(fleet.routers[0].shared().view.peek().ready);
}

#[tokio::test]
async fn ticket_spreads_after_log_outage() {
    let fleet = Fleet::start(options(4)).await.unwrap();
    fleet.publish(&ticket(1, "a")).await.unwrap();
    log_out(&fleet, true);
    fleet.wait_until(|it| it.routers.iter().any(|r| saw(r, Code::LogUnreachable))).await;
    assert!(fleet.routers.iter().all(|it| pool(it).as_deref() == Some("a")));
    log_out(&fleet, false);
    fleet.publish(&ticket(2, "b")).await.unwrap();
}

#[rstest]
#[case::shorter(false)]
#[case::grown_again(true)]
#[tokio::test]
async fn rewound_log_is_refused(#[case] grown: bool) {
    let mut options = options(2);
    options.settings.state_sync.log_wait = Duration::from_millis(50);
    let fleet = Fleet::start(options).await.unwrap();
    for number in 1..=3 {
        fleet.publish(&ticket(number, &format!("pool-{number}"))).await.unwrap();
    }
    log_out(&fleet, true);
    fleet.wait_until(|it| it.routers.iter().all(|r| saw(r, Code::LogUnreachable))).await;
    fleet.log.rewind(TICKET_STREAM, 1);
    log_out(&fleet, false);
    if grown {
        for number in 7..=9 {
            append(&fleet, &ticket(number, "other")).await;
        }
    }
    fleet.wait_until(|it| it.routers.iter().all(|r| saw(r, Code::LogRewound))).await;
    for it in &fleet.routers {
        assert_eq!(pool(it).as_deref(), Some("pool-3"));
        assert_eq!(it.shared().view.peek().state.next, 3);
    }
}

#[tokio::test]
async fn whole_fleet_restart_uses_snapshot() {
    let mut options = options(2);
    options.settings.state_sync.snapshot_every = Duration::from_millis(20);
    options.settings.state_sync.log_wait = Duration::from_millis(20);
    let mut fleet = Fleet::start(options).await.unwrap();
    for number in 1..=3 {
        fleet.publish(&ticket(number, &format!("pool-{number}"))).await.unwrap();
    }
    fleet.log.set_retention(Duration::from_millis(800));
    let expired = |it: &Fleet| {
        let all_in = it.log.page(SNAPSHOT_STREAM, 0).records.iter().any(|r| r.body["next"] == 3);
        all_in && it.log.page(TICKET_STREAM, 0).first == 3
    };
    fleet.wait_until(expired).await;
    fleet.log.set_retention(Duration::from_secs(3_600));
    fleet.routers.clear();
    append(&fleet, &ticket(4, "pool-4")).await;
    fleet.add_router().unwrap();
    fleet.add_router().unwrap();
    fleet.wait_until(|it| it.routers.iter().all(|r| pool(r).as_deref() == Some("pool-4"))).await;
    assert!(fleet.routers.iter().any(|it| saw(it, Code::StateFromSnapshot)));
}

#[tokio::test]
async fn gap_without_snapshot_is_told() {
    let mut fleet = Fleet::start(options(0)).await.unwrap();
    append(&fleet, &ticket(1, "a")).await;
    fleet.log.set_retention(Duration::ZERO);
    fleet.wait_until(|it| it.log.page(TICKET_STREAM, 0).first == 1).await;
    fleet.add_router().unwrap();
    fleet.wait_until(|it| saw(&it.routers[0], Code::HistoryGap)).await;
    assert!(!fleet.routers[0].shared().view.peek().ready);
}

/// A message with a field that this version does not know.
#[derive(Serialize)]
struct Newer {
    #[serde(flatten)]
    gossip: Gossip,
    field_of_newer_peer: Vec<u8>,
}

/// A message of a stranger that carries the first ticket.
fn message(fleet: &Fleet, version: u16, base: u64) -> Vec<u8> {
    let address = fleet.routers[0].control();
    let from = WireMember {
        name: "stranger".to_owned(),
        incarnation: 1,
        status: MemberStatus::Alive,
        address,
        control: address,
        domain: "luzon-a".to_owned(),
    };
    let gossip = Gossip {
        version,
        next: 1,
        base_chain: Some(base),
        records: vec![(0, ticket(1, "a").to_string())],
        ..empty_message(from)
    };
    rmp_serde::to_vec_named(&Newer { gossip, field_of_newer_peer: vec![1, 2] }).unwrap()
}

#[rstest]
#[case::without_token(None, 401)]
#[case::with_token(Some("change-this-token"), 200)]
#[tokio::test]
async fn gossip_guarded_and_open_to_newer_peer(#[case] token: Option<&str>, #[case] status: u16) {
    let fleet = Fleet::start(options(1)).await.unwrap();
    let url = format!("http://{}/v1/gossip", fleet.routers[0].control());
    let body = message(&fleet, GOSSIP_VERSION, 0);
    let mut request = fleet.http.post(url).body(body);
    if let Some(token) = token {
        request = request.header(TOKEN_HEADER, token);
    }
    let reply = request.send().await.unwrap();
    assert_eq!(reply.status().as_u16(), status);
    if status == 200 {
        let reply = unpack_gossip(&reply.bytes().await.unwrap()).unwrap();
        assert_eq!(reply.from.name, "entry-0");
    }
    let taken = u64::from(status == 200);
    assert_eq!(fleet.routers[0].shared().view.peek().state.next, taken);
}

#[tokio::test]
async fn gossip_of_other_version_is_refused() {
    let fleet = Fleet::start(options(1)).await.unwrap();
    let url = format!("http://{}/v1/gossip", fleet.routers[0].control());
    let body = message(&fleet, GOSSIP_VERSION + 1, 0);
    let token = "change-this-token";
    let reply = fleet.http.post(url).header(TOKEN_HEADER, token).body(body).send().await.unwrap();
    assert_eq!(reply.status().as_u16(), 200);
    assert!(saw(&fleet.routers[0], Code::PeerRefused));
    assert_eq!(fleet.routers[0].shared().view.peek().state.next, 0);
}

#[tokio::test]
async fn records_on_other_history_are_refused() {
    let fleet = Fleet::start(options(1)).await.unwrap();
    let url = format!("http://{}/v1/gossip", fleet.routers[0].control());
    let body = message(&fleet, GOSSIP_VERSION, 5);
    let token = "change-this-token";
    let reply = fleet.http.post(url).header(TOKEN_HEADER, token).body(body).send().await.unwrap();
    assert_eq!(reply.status().as_u16(), 200);
    assert!(saw(&fleet.routers[0], Code::StateDiffers));
    assert_eq!(fleet.routers[0].shared().view.peek().state.next, 0);
}

/// Ten tickets and sixty leaving marks at once, while four routers still join.
#[tokio::test]
async fn budget_held_in_storm() {
    const RATE: u64 = 4_096;
    /// Savings of two seconds, debt for urgent news, and what peers may send on top.
    const SLACK: u64 = 2 * RATE + 4_096 + 8_192;
    let mut options = options(4);
    options.settings.state_sync.budget = bytesize::ByteSize::b(RATE);
    options.settings.state_sync.gossip_every = Duration::from_secs(1);
    let fleet = Fleet::start(options).await.unwrap();
    let shared = fleet.routers[3].shared();
    for i in 0..60 {
        let remaining = Duration::from_secs(600);
        let mark = LeavingMark { name: format!("assistant-llm-{i}"), incarnation: 0, remaining };
        shared.marks.insert(&mark, shared.clock.now());
    }
    for number in 1..=10 {
        append(&fleet, &ticket(number, &format!("pool-{number}"))).await;
    }
    let holds = |it: &Daemon, i: usize| {
        let shared = it.shared();
        shared.marks.is_leaving(&format!("assistant-llm-{i}"), 0, shared.clock.now())
    };
    let done = |it: &Fleet| {
        let all =
            |r: &Daemon| (0..60).all(|i| holds(r, i)) && pool(r).as_deref() == Some("pool-10");
        it.routers.iter().all(all)
    };
    fleet.wait_until(done).await;
    for it in &fleet.routers {
        let most = SLACK + RATE * (fleet.began.elapsed().as_millis() as u64 + 1_000) / 1_000;
        let total = it.shared().meter.total();
        assert!(total <= most, "{total} bytes, {most} allowed");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// Whatever calls come, each made only out of debt, the bytes stay within
    /// rate times time, what accounts and reserve saved, and one call per account.
    #[test]
    fn budget_bounds_bytes(
        calls in prop::collection::vec((0..Purpose::COUNT, 1..3_000usize, 0..2_000u64), 1..200),
    ) {
        let clock = Arc::new(ManualClock::new());
        let budget = Budget::new(4_096, clock.clone());
        let begin = clock.now();
        let mut spent = 0;
        for (purpose, bytes, pause) in calls {
            clock.advance(Duration::from_millis(pause));
            let purpose = Purpose::ALL[purpose];
            if budget.delay(purpose, 0.0).is_zero() {
                budget.spend(purpose, bytes);
                spent += bytes;
            }
            let time = clock.now().duration_since(begin).as_secs_f64();
            prop_assert!(spent as f64 <= 4_096.0 * (time + 0.5) + 5.0 * 3_000.0 + 1.0);
        }
    }

    /// A call has to wait exactly until its account is out of debt.
    #[test]
    fn budget_delay_is_enough(bytes in 1..100_000usize) {
        let clock = Arc::new(ManualClock::new());
        let budget = Budget::new(4_096, clock.clone());
        budget.spend(Purpose::Log, bytes);
        clock.advance(budget.delay(Purpose::Log, 0.0) + Duration::from_millis(1));
        prop_assert!(budget.balance(Purpose::Log) >= 0.0);
    }
}
