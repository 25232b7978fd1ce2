//! Distribution of the state in force: start, outages of the log, snapshots, gossip and
//! the control budget.

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

fn set_log_outage(fleet: &Fleet, out: bool) {
    fleet.log.set_faults(Faults { out, ..Faults::default() });
}

fn has_event(router: &Daemon, code: Code) -> bool {
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
    set_log_outage(&fleet, true);
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
    set_log_outage(&fleet, true);
    fleet.add_router().unwrap();
    fleet.wait_until(|it| pool(&it.routers[2]).as_deref() == Some("pool-60")).await;
    assert!(has_event(&fleet.routers[2], Code::StateFromPeer));
    let states = [0, 2].map(|i| fleet.routers[i].shared().view.peek().state.clone());
    assert_eq!(states[0].chain, states[1].chain);
    assert_eq!(states[0].objects, states[1].objects);
    assert_eq!(states[0].accepted, states[1].accepted);
}

#[tokio::test]
async fn start_without_log_and_peer_is_not_ready() {
    let mut fleet = Fleet::start(options(0)).await.unwrap();
    set_log_outage(&fleet, true);
    fleet.add_router().unwrap();
    fleet.wait_until(|it| has_event(&it.routers[0], Code::NoState)).await;
    let url = format!("http://{}/readyz", fleet.routers[0].control());
    assert_eq!(fleet.http.get(url).send().await.unwrap().status().as_u16(), 503);
    set_log_outage(&fleet, false);
    fleet.publish(&ticket(1, "a")).await.unwrap();
    assert!(fleet.routers[0].shared().view.peek().ready);
}

#[tokio::test]
async fn ticket_spreads_after_log_outage() {
    let fleet = Fleet::start(options(4)).await.unwrap();
    fleet.publish(&ticket(1, "a")).await.unwrap();
    set_log_outage(&fleet, true);
    fleet.wait_until(|it| it.routers.iter().any(|r| has_event(r, Code::LogUnreachable))).await;
    assert!(fleet.routers.iter().all(|it| pool(it).as_deref() == Some("a")));
    set_log_outage(&fleet, false);
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
    set_log_outage(&fleet, true);
    fleet.wait_until(|it| it.routers.iter().all(|r| has_event(r, Code::LogUnreachable))).await;
    fleet.log.rewind(TICKET_STREAM, 1);
    set_log_outage(&fleet, false);
    if grown {
        for number in 7..=9 {
            append(&fleet, &ticket(number, "other")).await;
        }
    }
    fleet.wait_until(|it| it.routers.iter().all(|r| has_event(r, Code::LogRewound))).await;
    for it in &fleet.routers {
        assert_eq!(pool(it).as_deref(), Some("pool-3"));
        assert_eq!(it.shared().view.peek().state.next, 3);
    }
}

#[tokio::test]
async fn fleet_restart_uses_snapshot() {
    let mut options = options(2);
    options.settings.state_sync.snapshot_every = Duration::from_millis(20);
    options.settings.state_sync.log_wait = Duration::from_millis(20);
    let mut fleet = Fleet::start(options).await.unwrap();
    for number in 1..=3 {
        fleet.publish(&ticket(number, &format!("pool-{number}"))).await.unwrap();
    }
    fleet.log.set_retention(Duration::from_millis(800));
    let is_trimmed = |it: &Fleet| {
        let has_snapshot =
            it.log.page(SNAPSHOT_STREAM, 0).records.iter().any(|r| r.body["next"] == 3);
        has_snapshot && it.log.page(TICKET_STREAM, 0).first == 3
    };
    fleet.wait_until(is_trimmed).await;
    fleet.log.set_retention(Duration::from_secs(3_600));
    fleet.routers.clear();
    append(&fleet, &ticket(4, "pool-4")).await;
    fleet.add_router().unwrap();
    fleet.add_router().unwrap();
    fleet.wait_until(|it| it.routers.iter().all(|r| pool(r).as_deref() == Some("pool-4"))).await;
    assert!(fleet.routers.iter().any(|it| has_event(it, Code::StateFromSnapshot)));
}

#[tokio::test]
async fn history_gap_without_snapshot_is_reported() {
    let mut fleet = Fleet::start(options(0)).await.unwrap();
    append(&fleet, &ticket(1, "a")).await;
    fleet.log.set_retention(Duration::ZERO);
    fleet.wait_until(|it| it.log.page(TICKET_STREAM, 0).first == 1).await;
    fleet.add_router().unwrap();
    fleet.wait_until(|it| has_event(&it.routers[0], Code::HistoryGap)).await;
    assert!(!fleet.routers[0].shared().view.peek().ready);
}

/// A gossip message with a field that this version does not know.
#[derive(Serialize)]
struct NewerGossip {
    #[serde(flatten)]
    gossip: Gossip,
    field_of_newer_peer: Vec<u8>,
}

/// A gossip message with the first ticket, from a router that nobody knows yet.
fn gossip_message(fleet: &Fleet, version: u16, base: u64) -> Vec<u8> {
    let address = fleet.routers[0].control();
    let from = WireMember {
        name: "unknown-router".to_owned(),
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
    rmp_serde::to_vec_named(&NewerGossip { gossip, field_of_newer_peer: vec![1, 2] }).unwrap()
}

#[rstest]
#[case::without_token(None, 401)]
#[case::with_token(Some("change-this-token"), 200)]
#[tokio::test]
async fn gossip_requires_token_and_accepts_unknown_fields(
    #[case] token: Option<&str>,
    #[case] status: u16,
) {
    let fleet = Fleet::start(options(1)).await.unwrap();
    let url = format!("http://{}/v1/gossip", fleet.routers[0].control());
    let body = gossip_message(&fleet, GOSSIP_VERSION, 0);
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
    let folded = u64::from(status == 200);
    assert_eq!(fleet.routers[0].shared().view.peek().state.next, folded);
}

#[tokio::test]
async fn gossip_of_other_version_is_refused() {
    let fleet = Fleet::start(options(1)).await.unwrap();
    let url = format!("http://{}/v1/gossip", fleet.routers[0].control());
    let body = gossip_message(&fleet, GOSSIP_VERSION + 1, 0);
    let token = "change-this-token";
    let reply = fleet.http.post(url).header(TOKEN_HEADER, token).body(body).send().await.unwrap();
    assert_eq!(reply.status().as_u16(), 200);
    assert!(has_event(&fleet.routers[0], Code::PeerRefused));
    assert_eq!(fleet.routers[0].shared().view.peek().state.next, 0);
}

#[tokio::test]
async fn records_on_other_history_are_refused() {
    let fleet = Fleet::start(options(1)).await.unwrap();
    let url = format!("http://{}/v1/gossip", fleet.routers[0].control());
    let body = gossip_message(&fleet, GOSSIP_VERSION, 5);
    let token = "change-this-token";
    let reply = fleet.http.post(url).header(TOKEN_HEADER, token).body(body).send().await.unwrap();
    assert_eq!(reply.status().as_u16(), 200);
    assert!(has_event(&fleet.routers[0], Code::StateDiffers));
    assert_eq!(fleet.routers[0].shared().view.peek().state.next, 0);
}

/// Ten tickets and sixty leaving marks arrive at once, while four routers still join:
/// each router keeps to its control budget.
#[tokio::test]
async fn control_budget_holds_in_burst() {
    const BYTE_RATE: u64 = 4_096;
    /// Bursts of two seconds, debt for urgent exchanges, and messages that peers send.
    const SLACK_BYTES: u64 = 2 * BYTE_RATE + 4_096 + 8_192;
    let mut options = options(4);
    options.settings.state_sync.budget = bytesize::ByteSize::b(BYTE_RATE);
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
    let is_marked = |it: &Daemon, i: usize| {
        let shared = it.shared();
        shared.marks.is_leaving(&format!("assistant-llm-{i}"), 0, shared.clock.now())
    };
    let done = |it: &Fleet| {
        let all =
            |r: &Daemon| (0..60).all(|i| is_marked(r, i)) && pool(r).as_deref() == Some("pool-10");
        it.routers.iter().all(all)
    };
    fleet.wait_until(done).await;
    for it in &fleet.routers {
        let max =
            SLACK_BYTES + BYTE_RATE * (fleet.began.elapsed().as_millis() as u64 + 1_000) / 1_000;
        let total = it.shared().meter.total();
        assert!(total <= max, "{total} bytes, {max} allowed");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// For any sequence of calls, each made only while its bucket is not in debt, the
    /// bytes stay within rate times time, plus the bursts of buckets and reserve, plus one
    /// call for each bucket.
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

    /// After the delay that the budget returns, the bucket is out of debt.
    #[test]
    fn budget_delay_is_enough(bytes in 1..100_000usize) {
        let clock = Arc::new(ManualClock::new());
        let budget = Budget::new(4_096, clock.clone());
        budget.spend(Purpose::Log, bytes);
        clock.advance(budget.delay(Purpose::Log, 0.0) + Duration::from_millis(1));
        prop_assert!(budget.balance(Purpose::Log) >= 0.0);
    }
}
