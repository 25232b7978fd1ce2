//! Claims of engines under faults: two routers at once, pauses, lost replies,
//! outages of the log.

use filberttiller::events::Code;
use filberttiller::settings::Orders;
use rstest::rstest;
use serde_json::{Value, json};
use standins::engine::Faults;
use standins::log::Faults as LogFaults;

use crate::orders::holds;
use crate::orders_harness::Harness;

const V1: &str = "assistant@v1";
/// Looks after which everything that can happen has happened.
const POLLS: usize = 12;

fn in_pool(number: u64, pool: usize) -> Value {
    json!({ "version": 1, "number": number, "objects": [{
        "kind": "model", "name": "assistant", "spec": {
            "pool": format!("pool-{pool}"), "version": "v1", "copies": 1,
        } }] })
}

/// One router lacks the ticket that moves the model: each counts on the engine
/// that the other one is to clear.
#[rstest]
#[case::checked(true)]
#[case::ignored(false)]
#[tokio::test]
async fn two_actors_keep_a_copy(#[case] checks_fencing: bool) {
    let tickets = [in_pool(1, 0), in_pool(2, 1)];
    for first in 0..2 {
        let harness = Harness::start(&[&["v1"], &["v1"]], checks_fencing).await;
        let mut actors =
            [harness.actor("r0", &tickets[..1]).await, harness.actor("r1", &tickets).await];
        for i in 0..POLLS {
            harness.poll(&mut actors[(i + first) % 2]).await;
            assert!(harness.engines.iter().any(|it| holds(it, V1)), "after {i} looks");
        }
        assert!(actors.iter().any(|it| it.saw(Code::OrderDone)), "one went on");
        actors[0].fold(&tickets).await;
        for i in 0..2 * POLLS {
            harness.poll(&mut actors[i % 2]).await;
            assert!(
                harness.engines.iter().any(|it| holds(it, V1)),
                "after the ticket and {i} looks"
            );
        }
        assert!(!holds(&harness.engines[0], V1) && holds(&harness.engines[1], V1));
    }
}

/// A router claims an unload, is paused, and sends it when another router has
/// long relied on that engine and cleared its own.
#[tokio::test]
async fn paused_actor_refused_by_fencing() {
    let tickets = [in_pool(1, 0), in_pool(2, 1)];
    let harness = Harness::start(&[&["v1"], &["v1"]], true).await;
    let mut paused = harness.actor("r0", &tickets[..1]).await;
    harness.poll(&mut paused).await;
    assert_eq!(harness.records().len(), 1, "its claim has offset 0");
    let mut other = harness.actor("r1", &tickets).await;
    for _ in 0..2 * POLLS {
        harness.poll(&mut other).await;
        harness.clock.advance(Orders::default().hold / 10);
    }
    assert!(!holds(&harness.engines[0], V1) && holds(&harness.engines[1], V1));
    assert!(!harness.send_late(1, "v1", 1).await, "its number is too old");
    harness.poll(&mut paused).await;
    assert!(!paused.saw(Code::OrderSent), "it sends nothing itself either");
    assert!(holds(&harness.engines[1], V1));
}

#[tokio::test]
async fn paused_actor_mended_on_engine_that_ignores() {
    let harness = Harness::start(&[&["v1"]], false).await;
    let mut actor = harness.actor("r0", &[in_pool(1, 0)]).await;
    harness.poll(&mut actor).await;
    assert!(harness.records().is_empty(), "nothing to do costs no append");
    assert!(harness.send_late(0, "v1", 0).await);
    assert!(!holds(&harness.engines[0], V1));
    for _ in 0..POLLS {
        harness.poll(&mut actor).await;
    }
    assert!(holds(&harness.engines[0], V1));
}

#[tokio::test]
async fn lapsed_claim_sends_nothing() {
    let harness = Harness::start(&[&["v0"]], true).await;
    let mut actor = harness.actor("r0", &[in_pool(1, 0)]).await;
    harness.poll(&mut actor).await;
    harness.clock.advance(Orders::default().hold / 2);
    harness.poll(&mut actor).await;
    assert!(actor.saw(Code::ClaimLapsed) && harness.engines[0].orders().is_empty());
    for _ in 0..POLLS {
        harness.poll(&mut actor).await;
    }
    assert!(holds(&harness.engines[0], V1), "under a new claim");
}

#[tokio::test]
async fn lost_replies_change_nothing() {
    let harness = Harness::start(&[&["v0"]], true).await;
    harness.log.set_faults(LogFaults { lost_replies: 2, ..LogFaults::default() });
    harness.engines[0].set_faults(Faults { lost_orders: 1, ..Faults::default() });
    let mut actor = harness.actor("r0", &[in_pool(1, 0)]).await;
    for _ in 0..POLLS {
        harness.poll(&mut actor).await;
    }
    let loaded: Vec<_> =
        harness.engines[0].load().loaded.into_iter().map(|it| it.version).collect();
    assert_eq!(loaded, ["v1"]);
    let claims = harness.records().iter().filter(|it| it["claim"].is_object()).count();
    assert_eq!((claims, harness.records().len()), (2, 4), "a load and an unload, each ended once");
}

#[tokio::test]
async fn log_outage_stops_claims_not_holders() {
    let harness = Harness::start(&[&["v0"]], true).await;
    let mut holder = harness.actor("r0", &[in_pool(1, 0)]).await;
    harness.poll(&mut holder).await;
    let claimed = harness.records().len();
    harness.poll(&mut holder).await;
    let out = LogFaults { out: true, ..LogFaults::default() };
    harness.log.set_faults(out);
    for _ in 0..POLLS {
        harness.poll(&mut holder).await;
    }
    assert!(holds(&harness.engines[0], V1), "the order that was claimed before");
    assert!(holds(&harness.engines[0], "assistant@v0"), "no order without a claim");
    assert!(holder.saw(Code::OrdersHeld));
    assert_eq!(harness.records().len(), claimed);
    harness.log.set_faults(LogFaults::default());
    for _ in 0..POLLS {
        harness.poll(&mut holder).await;
    }
    assert!(!holds(&harness.engines[0], "assistant@v0") && holder.saw(Code::OrdersResumed));
}

#[tokio::test]
async fn leaving_engine_gets_no_order() {
    let harness = Harness::start(&[&["v0"]], true).await;
    let mut actor = harness.actor("r0", &[in_pool(1, 0)]).await;
    harness.poll(&mut actor).await;
    assert_eq!(harness.records().len(), 1, "claimed");
    actor.list(harness.list(Some(0))).await;
    for _ in 0..POLLS {
        harness.poll(&mut actor).await;
    }
    assert!(harness.engines[0].orders().is_empty());
    assert_eq!(harness.records().len(), 2, "and ended");
}
