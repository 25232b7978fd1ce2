//! Claims of engines under faults: two routers at once, pauses, lost replies and outages
//! of the log.

use filberttiller::events::Code;
use filberttiller::settings::Orders;
use rstest::rstest;
use serde_json::{Value, json};
use standins::engine::Faults;
use standins::log::Faults as LogFaults;

use crate::orders::holds;
use crate::orders_harness::Harness;

const V1: &str = "assistant@v1";
/// Number of polls after which nothing changes any more.
const POLLS: usize = 12;

fn in_pool(number: u64, pool: usize) -> Value {
    json!({ "version": 1, "number": number, "objects": [{
        "kind": "model", "name": "assistant", "spec": {
            "pool": format!("pool-{pool}"), "version": "v1", "copies": 1,
        } }] })
}

/// One router lacks the ticket that moves the model to another pool, so each relies on
/// the copy that the other one is to unload.
#[rstest]
#[case::checked(true)]
#[case::ignored(false)]
#[tokio::test]
async fn conflicting_unloads_keep_a_copy(#[case] checks_fencing: bool) {
    let tickets = [in_pool(1, 0), in_pool(2, 1)];
    for first in 0..2 {
        let harness = Harness::start(&[&["v1"], &["v1"]], checks_fencing).await;
        let mut routers =
            [harness.router("r0", &tickets[..1]).await, harness.router("r1", &tickets).await];
        for i in 0..POLLS {
            harness.poll(&mut routers[(i + first) % 2]).await;
            assert!(harness.engines.iter().any(|it| holds(it, V1)), "after {i} polls");
        }
        assert!(routers.iter().any(|it| it.has_event(Code::OrderDone)), "one made progress");
        routers[0].fold(&tickets).await;
        for i in 0..2 * POLLS {
            harness.poll(&mut routers[i % 2]).await;
            assert!(
                harness.engines.iter().any(|it| holds(it, V1)),
                "after the ticket and {i} polls"
            );
        }
        assert!(!holds(&harness.engines[0], V1) && holds(&harness.engines[1], V1));
    }
}

/// A router claims an unload, is paused, and sends the order after another router has
/// unloaded another copy in reliance on this one.
#[tokio::test]
async fn late_order_of_paused_router_refused_by_fencing() {
    let tickets = [in_pool(1, 0), in_pool(2, 1)];
    let harness = Harness::start(&[&["v1"], &["v1"]], true).await;
    let mut paused = harness.router("r0", &tickets[..1]).await;
    harness.poll(&mut paused).await;
    assert_eq!(harness.records().len(), 1, "its claim has offset 0");
    let mut other = harness.router("r1", &tickets).await;
    for _ in 0..2 * POLLS {
        harness.poll(&mut other).await;
        harness.clock.advance(Orders::default().hold / 10);
    }
    assert!(!holds(&harness.engines[0], V1) && holds(&harness.engines[1], V1));
    assert!(!harness.send_late_unload(1, "v1", 1).await, "its fencing number is too old");
    harness.poll(&mut paused).await;
    assert!(!paused.has_event(Code::OrderSent), "it sends nothing itself either");
    assert!(holds(&harness.engines[1], V1));
}

#[tokio::test]
async fn late_order_repaired_on_engine_without_fencing() {
    let harness = Harness::start(&[&["v1"]], false).await;
    let mut router = harness.router("r0", &[in_pool(1, 0)]).await;
    harness.poll(&mut router).await;
    assert!(harness.records().is_empty(), "no append without an order");
    assert!(harness.send_late_unload(0, "v1", 0).await);
    assert!(!holds(&harness.engines[0], V1));
    for _ in 0..POLLS {
        harness.poll(&mut router).await;
    }
    assert!(holds(&harness.engines[0], V1));
}

#[tokio::test]
async fn expired_claim_sends_no_order() {
    let harness = Harness::start(&[&["v0"]], true).await;
    let mut router = harness.router("r0", &[in_pool(1, 0)]).await;
    harness.poll(&mut router).await;
    harness.clock.advance(Orders::default().hold / 2);
    harness.poll(&mut router).await;
    assert!(router.has_event(Code::ClaimLapsed) && harness.engines[0].orders().is_empty());
    for _ in 0..POLLS {
        harness.poll(&mut router).await;
    }
    assert!(holds(&harness.engines[0], V1), "under a new claim");
}

#[tokio::test]
async fn lost_replies_repeat_no_claim() {
    let harness = Harness::start(&[&["v0"]], true).await;
    harness.log.set_faults(LogFaults { lost_replies: 2, ..LogFaults::default() });
    harness.engines[0].set_faults(Faults { lost_orders: 1, ..Faults::default() });
    let mut router = harness.router("r0", &[in_pool(1, 0)]).await;
    for _ in 0..POLLS {
        harness.poll(&mut router).await;
    }
    let loaded: Vec<_> =
        harness.engines[0].load().loaded.into_iter().map(|it| it.version).collect();
    assert_eq!(loaded, ["v1"]);
    let claims = harness.records().iter().filter(|it| it["claim"].is_object()).count();
    assert_eq!((claims, harness.records().len()), (2, 4), "a load and an unload, each ended once");
}

#[tokio::test]
async fn log_outage_stops_new_claims_only() {
    let harness = Harness::start(&[&["v0"]], true).await;
    let mut holder = harness.router("r0", &[in_pool(1, 0)]).await;
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
    assert!(holder.has_event(Code::OrdersHeld));
    assert_eq!(harness.records().len(), claimed);
    harness.log.set_faults(LogFaults::default());
    for _ in 0..POLLS {
        harness.poll(&mut holder).await;
    }
    assert!(!holds(&harness.engines[0], "assistant@v0") && holder.has_event(Code::OrdersResumed));
}

#[tokio::test]
async fn leaving_engine_gets_no_order() {
    let harness = Harness::start(&[&["v0"]], true).await;
    let mut router = harness.router("r0", &[in_pool(1, 0)]).await;
    harness.poll(&mut router).await;
    assert_eq!(harness.records().len(), 1, "claimed");
    router.set_list(harness.instances(Some(0))).await;
    for _ in 0..POLLS {
        harness.poll(&mut router).await;
    }
    assert!(harness.engines[0].orders().is_empty());
    assert_eq!(harness.records().len(), 2, "and ended");
}
