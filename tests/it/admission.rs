//! Fair queues, rate limits, experiments and the order of entry addresses.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filberttiller::admission::{AdmissionRequest, PoolLimiter};
use filberttiller::decide::{
    EntryQuery, EntryRouter, FairQueue, PoolUsage, PushResult, QueueLimits, QueuedRequest,
    RateLimit, combine, entry_order, rate_share, router_capacity, takes_part,
};
use filberttiller::demo::{Caller, ChatTurn, Fleet, FleetOptions};
use filberttiller::wire::ApiErrorBody;
use proptest::prelude::*;
use rstest::rstest;
use serde_json::json;

const DOMAINS: [&str; 3] = ["waw-a", "waw-b", "waw-c"];

fn limits() -> QueueLimits {
    QueueLimits {
        total: 1_000,
        organisation: 500,
        short_tokens: 100,
        aging: Duration::from_secs(2),
    }
}

fn queued_request(id: u64, cost: u64, since: Instant) -> QueuedRequest {
    QueuedRequest { id, cost, since, until: since + Duration::from_secs(60) }
}

fn routers(count: usize) -> Vec<EntryRouter<'static>> {
    let router = |i: usize| EntryRouter {
        id: combine(7, i as u64),
        domain: DOMAINS[i % DOMAINS.len()],
        leaving: false,
    };
    (0..count).map(router).collect()
}

fn query(organisation: u64, chat: u64, rate: Option<f64>) -> EntryQuery {
    EntryQuery { organisation, chat, rate, max_addresses: 3 }
}

#[test]
fn pop_shares_by_weight() {
    let now = Instant::now();
    let mut queue = FairQueue::new(limits());
    for i in 0..300 {
        queue.push("large", 3.0, queued_request(i, 200, now), 0.0);
        queue.push("small", 1.0, queued_request(1_000 + i, 200, now), 0.0);
    }
    let first: Vec<u64> = (0..200).map(|_| queue.pop(now).unwrap().id).collect();
    let large = first.iter().filter(|id| **id < 1_000).count();
    assert!((148..=152).contains(&large), "{large}");
}

#[test]
fn pop_surge_delays_no_other() {
    let now = Instant::now();
    let mut queue = FairQueue::new(limits());
    for i in 0..400 {
        queue.push("surging", 1.0, queued_request(i, 2_000, now), 0.0);
    }
    queue.pop(now).unwrap();
    queue.push("calm", 1.0, queued_request(9_999, 20, now), 0.0);
    assert_eq!(queue.pop(now).unwrap().id, 9_999);
}

#[test]
fn pop_is_work_conserving() {
    let now = Instant::now();
    let mut queue = FairQueue::new(limits());
    for i in 0..50 {
        queue.push("only", 0.001, queued_request(i, 50, now), 0.0);
    }
    assert!((0..50).all(|_| queue.pop(now).is_some()));
    assert!(queue.is_empty());
}

#[rstest]
#[case::recent(Duration::from_millis(10), 1)]
#[case::aged(Duration::from_secs(3), 0)]
fn pop_short_before_long(#[case] waited: Duration, #[case] first: u64) {
    let now = Instant::now();
    let mut queue = FairQueue::new(limits());
    queue.push("one", 1.0, queued_request(0, 5_000, now), 0.0);
    queue.push("one", 1.0, queued_request(1, 10, now), 0.0);
    assert_eq!(queue.pop(now + waited).unwrap().id, first);
}

#[test]
fn push_refuses_late_requests() {
    let now = Instant::now();
    let mut queue = FairQueue::new(limits());
    let rate = 1_000.0;
    for i in 0..70 {
        queue.push("one", 1.0, queued_request(i, 1_000, now), rate);
    }
    let answer = queue.push("one", 1.0, queued_request(99, 1_000, now), rate);
    assert!(matches!(answer, PushResult::Refused(time) if time >= Duration::from_secs(60)));
    assert_eq!(queue.push("two", 1.0, queued_request(100, 1_000, now), rate), PushResult::Queued);
}

#[test]
fn push_limits_each_organisation() {
    let now = Instant::now();
    let mut queue = FairQueue::new(limits());
    let waits = (0..600)
        .filter(|i| queue.push("one", 1.0, queued_request(*i, 1, now), 0.0) == PushResult::Queued)
        .count();
    assert_eq!(waits, 500);
    assert_eq!(queue.push("two", 1.0, queued_request(601, 1, now), 0.0), PushResult::Queued);
}

#[test]
fn expire_removes_late_requests() {
    let now = Instant::now();
    let mut queue = FairQueue::new(limits());
    queue.push("one", 1.0, queued_request(1, 10, now), 0.0);
    assert!(queue.expire(now + Duration::from_secs(59)).is_empty());
    assert_eq!(queue.expire(now + Duration::from_secs(60)).len(), 1);
    assert!(queue.pop(now).is_none());
}

proptest! {
    /// No request is lost, and an organisation that always has a request in the queue is
    /// never behind its share by more than one request of each other organisation.
    #[test]
    fn pop_keeps_shares(costs in prop::collection::vec((0..3usize, 1..500u64), 30..200)) {
        let now = Instant::now();
        let names = ["a", "b", "c"];
        let weights = [1.0, 2.0, 5.0];
        let mut queue = FairQueue::new(QueueLimits { short_tokens: 0, ..limits() });
        let mut cost_of = HashMap::new();
        for (i, (who, cost)) in costs.iter().enumerate() {
            queue.push(names[*who], weights[*who], queued_request(i as u64, *cost, now), 0.0);
            cost_of.insert(i as u64, (*who, *cost));
        }
        let mut remaining = costs.iter().fold([0usize; 3], |mut it, (who, _)| { it[*who] += 1; it });
        let mut served = [0.0; 3];
        let mut count = 0;
        while let Some(item) = queue.pop(now) {
            let (who, cost) = cost_of[&item.id];
            served[who] += cost as f64 / weights[who];
            remaining[who] -= 1;
            count += 1;
            if remaining.iter().all(|it| *it > 0) {
                let max = served.iter().copied().fold(0.0, f64::max);
                let min = served.iter().copied().fold(f64::MAX, f64::min);
                prop_assert!(max - min <= 2.0 * 500.0, "{served:?}");
            }
        }
        prop_assert_eq!(count, costs.len());
    }

    /// A router is always granted its equal share of the pool, at least one request, and
    /// never more than the whole pool.
    #[test]
    fn router_capacity_bounded(slots in 1..1_000u64, busy in 0..2_000u64, routers in 1..400u64) {
        let input = PoolUsage { slots, busy, own: busy / routers, routers, headroom: 1.5 };
        let max = (slots as f64 * 1.5).ceil() as u64;
        let granted = router_capacity(&input);
        prop_assert!(granted >= 1);
        prop_assert!(granted <= max.max(1));
        prop_assert!(granted >= max / routers);
    }

    /// A chat that takes part in an experiment at one share does so at every larger share.
    #[test]
    fn takes_part_is_nested(chat: u64, small in 0.0..1.0f64, more in 0.0..1.0f64) {
        let large = (small + more).min(1.0);
        prop_assert!(!takes_part("x", chat, small) || takes_part("x", chat, large));
    }

    /// All routers together grant an organisation at most 1.1 times its rate.
    #[test]
    fn rate_share_bounded(count in 1..100usize, organisation: u64, rate in 0.5..5_000.0f64) {
        let all = routers(count);
        let sum: f64 = all.iter().map(|it| rate_share(&all, it.id, organisation, rate)).sum();
        prop_assert!((1.0 - 1e-9..=1.1 + 1e-9).contains(&sum), "{sum}");
    }
}

#[test]
fn takes_part_matches_share() {
    let count = (0..100_000u64).filter(|i| takes_part("x", combine(1, *i), 0.2)).count();
    assert!((19_000..=21_000).contains(&count), "{count}");
}

#[test]
fn rate_limit_holds_rate() {
    let start = Instant::now();
    let mut limit = RateLimit::new(10.0, start);
    let passed = (0..10_000u64)
        .filter(|i| limit.take(10.0, start + Duration::from_millis(*i)).is_ok())
        .count();
    assert!((100..=110).contains(&passed), "{passed}");
}

#[test]
fn entry_order_spreads_evenly() {
    let all = routers(4);
    let mut counts = HashMap::new();
    for chat in 0..40_000u64 {
        let order = entry_order(&all, &query(1, combine(3, chat), None));
        *counts.entry(order[0]).or_insert(0) += 1;
    }
    assert!(counts.values().all(|it| (9_500..=10_500).contains(it)), "{counts:?}");
}

#[test]
fn entry_order_mixes_domains() {
    let all = routers(6);
    for chat in 0..1_000u64 {
        let order = entry_order(&all, &query(1, combine(3, chat), Some(50.0)));
        assert_ne!(all[order[0]].domain, all[order[1]].domain);
    }
}

#[test]
fn entry_order_omits_leaving() {
    let mut all = routers(4);
    let before: Vec<_> =
        (0..1_000).map(|chat| entry_order(&all, &query(1, chat, None))[0]).collect();
    all[2].leaving = true;
    for (chat, first) in before.iter().enumerate() {
        let order = entry_order(&all, &query(1, chat as u64, None));
        assert!(!order.contains(&2));
        assert!(*first == 2 || order[0] == *first);
    }
}

#[test]
fn entry_order_limited_prefers_home() {
    let all = routers(40);
    for chat in 0..500u64 {
        let order = entry_order(&all, &query(9, chat, Some(30.0)));
        let share = rate_share(&all, all[order[0]].id, 9, 30.0);
        assert_eq!(share, 0.5);
    }
}

fn admission_request(until: Instant, capacity: u64) -> AdmissionRequest<'static> {
    AdmissionRequest {
        organisation: "one",
        weight: 1.0,
        cost: 500,
        until,
        capacity,
        short_capacity: capacity + 1,
    }
}

#[tokio::test(start_paused = true)]
async fn acquire_waits_for_capacity() {
    let now = tokio::time::Instant::now().into_std();
    let limiter = Arc::new(PoolLimiter::new(limits(), now));
    let far = now + Duration::from_secs(60);
    let first = limiter.acquire(&admission_request(far, 1), now).await.unwrap();
    let waiter = Arc::clone(&limiter);
    let second =
        tokio::spawn(async move { waiter.acquire(&admission_request(far, 1), now).await.is_ok() });
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(limiter.waiting(), 1);
    drop(first);
    assert!(second.await.unwrap());
    assert_eq!((limiter.in_flight(), limiter.waiting()), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn acquire_admits_short() {
    let now = tokio::time::Instant::now().into_std();
    let limiter = Arc::new(PoolLimiter::new(limits(), now));
    let far = now + Duration::from_secs(60);
    let _long = limiter.acquire(&admission_request(far, 1), now).await.unwrap();
    let waiter = Arc::clone(&limiter);
    let second =
        tokio::spawn(async move { waiter.acquire(&admission_request(far, 1), now).await.is_ok() });
    tokio::time::sleep(Duration::from_secs(1)).await;
    let short = AdmissionRequest { cost: 10, ..admission_request(far, 1) };
    let _passed = limiter.acquire(&short, now).await.unwrap();
    assert_eq!((limiter.in_flight(), limiter.waiting()), (2, 1));
    second.abort();
}

#[tokio::test(start_paused = true)]
async fn acquire_times_out() {
    let now = tokio::time::Instant::now().into_std();
    let limiter = Arc::new(PoolLimiter::new(limits(), now));
    let soon = now + Duration::from_millis(500);
    let _held = limiter.acquire(&admission_request(soon, 1), now).await.unwrap();
    assert!(limiter.acquire(&admission_request(soon, 1), now).await.is_err());
    assert_eq!(tokio::time::Instant::now().into_std() - now, Duration::from_millis(500));
    assert_eq!(limiter.waiting(), 0);
}

#[tokio::test(start_paused = true)]
async fn acquire_forgets_cancelled() {
    let now = tokio::time::Instant::now().into_std();
    let limiter = Arc::new(PoolLimiter::new(limits(), now));
    let far = now + Duration::from_secs(60);
    let held = limiter.acquire(&admission_request(far, 1), now).await.unwrap();
    let waiter = Arc::clone(&limiter);
    let second =
        tokio::spawn(async move { waiter.acquire(&admission_request(far, 1), now).await.is_ok() });
    tokio::time::sleep(Duration::from_secs(1)).await;
    second.abort();
    assert!(second.await.is_err());
    drop(held);
    assert_eq!((limiter.in_flight(), limiter.waiting()), (0, 0));
}

async fn small_fleet() -> Fleet {
    let options = FleetOptions { routers: 2, engines: 2, canaries: 1, ..FleetOptions::default() };
    let fleet = Fleet::start(options).await.unwrap();
    fleet.publish_first_ticket().await.unwrap();
    fleet
}

#[tokio::test]
async fn rate_limit_held_over_routers() {
    let fleet = small_fleet().await;
    let ticket = json!({ "version": 1, "number": 5, "objects": [
        { "kind": "organisation", "name": "dalisay", "spec": { "rate": 0.001 } } ] });
    fleet.publish(&ticket).await.unwrap();
    let messages = vec![json!({ "role": "user", "content": "reeds" })];
    let turn = ChatTurn { messages: &messages, tokens: 1, stream: false };
    let mut errors = Vec::new();
    for i in 0..10 {
        let mut caller = Caller::new(&fleet.http, "dalisay", &format!("chat-{i}"));
        let router = caller.entry_address(fleet.routers[0].address()).await.unwrap();
        errors.extend(caller.send(router, &turn).await.err());
    }
    assert_eq!(errors.len(), 9);
    let body = errors[0].split_once(": ").unwrap().1;
    let error = serde_json::from_str::<ApiErrorBody>(body).unwrap().error;
    assert_eq!((error.reason.as_str(), error.verdict.as_str()), ("rate_exceeded", "not_run"));
    assert!(error.retry_ms.is_some());
    let mut other = Caller::new(&fleet.http, "pierscionkowo", "chat-1");
    other.send(fleet.routers[0].address(), &turn).await.unwrap();
}

#[tokio::test]
async fn experiment_diverts_its_share() {
    let fleet = small_fleet().await;
    let ticket = json!({ "version": 1, "number": 6, "objects": [
        { "kind": "model", "name": "canary", "spec": { "pool": "canary-llm" } },
        { "kind": "experiment", "name": "try-canary", "spec": {
            "organisation": "dalisay", "model": "assistant", "share": 0.3, "target": "canary" } },
    ] });
    fleet.publish(&ticket).await.unwrap();
    let messages = vec![json!({ "role": "user", "content": "reeds" })];
    let turn = ChatTurn { messages: &messages, tokens: 1, stream: false };
    let mut expected = 0;
    for i in 0..40 {
        let name = format!("chat-{i}");
        let mut caller = Caller::new(&fleet.http, "dalisay", &name);
        let chat = filberttiller::decide::chat_key("dalisay", &name);
        expected += u64::from(takes_part("try-canary", chat, 0.3));
        caller.send(fleet.routers[i % 2].address(), &turn).await.unwrap();
    }
    assert!(expected > 0 && expected < 40);
    assert_eq!(fleet.canaries[0].total_runs(), expected);
    let counted: u64 = fleet
        .routers
        .iter()
        .map(|it| {
            let counters = &it.shared().counters;
            counters.arm_requests.with_label_values(&["try-canary", "test", "ran"]).get()
        })
        .sum();
    assert_eq!(counted, expected);
}
