//! Claims of engines under faults: two routers at once, pauses, lost replies,
//! outages of the log.

use filberttiller::events::Code;
use filberttiller::settings::Orders;
use rstest::rstest;
use serde_json::{Value, json};
use standins::engine::Faults;
use standins::log::Faults as LogFaults;

use crate::orders::holds;
use crate::orders_rig::Rig;

const V1: &str = "assistant@v1";
/// Looks after which everything that can happen has happened.
const LOOKS: usize = 12;

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
        let rig = Rig::start(&[&["v1"], &["v1"]], checks_fencing).await;
        let mut actors = [rig.actor("r0", &tickets[..1]).await, rig.actor("r1", &tickets).await];
        for i in 0..LOOKS {
            rig.look(&mut actors[(i + first) % 2]).await;
            assert!(rig.engines.iter().any(|it| holds(it, V1)), "after {i} looks");
        }
        assert!(actors.iter().any(|it| it.saw(Code::OrderDone)), "one went on");
        actors[0].fold(&tickets).await;
        for i in 0..2 * LOOKS {
            rig.look(&mut actors[i % 2]).await;
            assert!(rig.engines.iter().any(|it| holds(it, V1)), "after the ticket and {i} looks");
        }
        assert!(!holds(&rig.engines[0], V1) && holds(&rig.engines[1], V1));
    }
}

/// A router claims an unload, is paused, and sends it when another router has
/// long relied on that engine and cleared its own.
#[tokio::test]
async fn paused_actor_refused_by_fencing() {
    let tickets = [in_pool(1, 0), in_pool(2, 1)];
    let rig = Rig::start(&[&["v1"], &["v1"]], true).await;
    let mut paused = rig.actor("r0", &tickets[..1]).await;
    rig.look(&mut paused).await;
    assert_eq!(rig.records().len(), 1, "its claim has offset 0");
    let mut other = rig.actor("r1", &tickets).await;
    for _ in 0..2 * LOOKS {
        rig.look(&mut other).await;
        rig.clock.advance(Orders::default().hold / 10);
    }
    assert!(!holds(&rig.engines[0], V1) && holds(&rig.engines[1], V1));
    assert!(!rig.send_late(1, "v1", 1).await, "its number is too old");
    rig.look(&mut paused).await;
    assert!(!paused.saw(Code::OrderSent), "it sends nothing itself either");
    assert!(holds(&rig.engines[1], V1));
}

#[tokio::test]
async fn paused_actor_mended_on_engine_that_ignores() {
    let rig = Rig::start(&[&["v1"]], false).await;
    let mut actor = rig.actor("r0", &[in_pool(1, 0)]).await;
    rig.look(&mut actor).await;
    assert!(rig.records().is_empty(), "nothing to do costs no append");
    assert!(rig.send_late(0, "v1", 0).await);
    assert!(!holds(&rig.engines[0], V1));
    for _ in 0..LOOKS {
        rig.look(&mut actor).await;
    }
    assert!(holds(&rig.engines[0], V1));
}

#[tokio::test]
async fn lapsed_claim_sends_nothing() {
    let rig = Rig::start(&[&["v0"]], true).await;
    let mut actor = rig.actor("r0", &[in_pool(1, 0)]).await;
    rig.look(&mut actor).await;
    rig.clock.advance(Orders::default().hold / 2);
    rig.look(&mut actor).await;
    assert!(actor.saw(Code::ClaimLapsed) && rig.engines[0].orders().is_empty());
    for _ in 0..LOOKS {
        rig.look(&mut actor).await;
    }
    assert!(holds(&rig.engines[0], V1), "under a new claim");
}

#[tokio::test]
async fn lost_replies_change_nothing() {
    let rig = Rig::start(&[&["v0"]], true).await;
    rig.log.set_faults(LogFaults { lost_replies: 2, ..LogFaults::default() });
    rig.engines[0].set_faults(Faults { lost_orders: 1, ..Faults::default() });
    let mut actor = rig.actor("r0", &[in_pool(1, 0)]).await;
    for _ in 0..LOOKS {
        rig.look(&mut actor).await;
    }
    let loaded: Vec<_> = rig.engines[0].load().loaded.into_iter().map(|it| it.version).collect();
    assert_eq!(loaded, ["v1"]);
    let claims = rig.records().iter().filter(|it| it["claim"].is_object()).count();
    assert_eq!((claims, rig.records().len()), (2, 4), "a load and an unload, each ended once");
}

#[tokio::test]
async fn log_outage_stops_claims_not_holders() {
    let rig = Rig::start(&[&["v0"]], true).await;
    let mut holder = rig.actor("r0", &[in_pool(1, 0)]).await;
    rig.look(&mut holder).await;
    let claimed = rig.records().len();
    rig.look(&mut holder).await;
    let out = LogFaults { out: true, ..LogFaults::default() };
    rig.log.set_faults(out);
    for _ in 0..LOOKS {
        rig.look(&mut holder).await;
    }
    assert!(holds(&rig.engines[0], V1), "the order that was claimed before");
    assert!(holds(&rig.engines[0], "assistant@v0"), "no order without a claim");
    assert!(holder.saw(Code::OrdersHeld));
    assert_eq!(rig.records().len(), claimed);
    rig.log.set_faults(LogFaults::default());
    for _ in 0..LOOKS {
        rig.look(&mut holder).await;
    }
    assert!(!holds(&rig.engines[0], "assistant@v0") && holder.saw(Code::OrdersResumed));
}

#[tokio::test]
async fn leaving_engine_gets_no_order() {
    let rig = Rig::start(&[&["v0"]], true).await;
    let mut actor = rig.actor("r0", &[in_pool(1, 0)]).await;
    rig.look(&mut actor).await;
    assert_eq!(rig.records().len(), 1, "claimed");
    actor.list(rig.list(Some(0))).await;
    for _ in 0..LOOKS {
        rig.look(&mut actor).await;
    }
    assert!(rig.engines[0].orders().is_empty());
    assert_eq!(rig.records().len(), 2, "and ended");
}
