//! Parts of passing requests on: events, retries, prefixes, headers, refusals.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filberttiller::decide::{LoadBound, RetryBudget, RetryRate, Verdict};
use filberttiller::relay::{
    ConnectionPool, EventFramer, PrefixHolders, Refusal, RelayLimits, RetryBudgets,
    drop_hop_headers,
};
use filberttiller::servers::{Server, ServerRecord, ServerState};
use hyper::{HeaderMap, StatusCode};
use proptest::prelude::{any, proptest};
use rstest::rstest;

fn limits() -> RelayLimits {
    RelayLimits {
        key_age: Duration::from_secs(5),
        ready_age: Duration::from_secs(3),
        deny_age: Duration::from_secs(2),
        retry_ratio: 0.2,
        retry_slack: 58.0,
        retry_window: Duration::from_secs(10),
        bound: LoadBound { factor: 1.5, extra: 2.0 },
    }
}

#[test]
fn frames_pass_whole_events_only() {
    let mut frames = EventFramer::default();
    assert_eq!(frames.push(b"id: 1\nda").unwrap(), "");
    assert_eq!(frames.push(b"ta: a\n\nid: 2\n").unwrap(), "id: 1\ndata: a\n\n");
    assert!(!frames.is_at_boundary());
    assert_eq!(frames.last(), Some("1"));
    frames.drop_partial();
    assert_eq!(frames.push(b"id: 2\r\ndata: b\r\n\r\n").unwrap(), "id: 2\r\ndata: b\r\n\r\n");
    assert_eq!(frames.last(), Some("2"));
    assert!(frames.is_at_boundary());
}

#[test]
fn frames_endless_event() {
    let mut frames = EventFramer::default();
    let part = vec![b'x'; 600 * 1024];
    assert!(frames.push(&part).is_some());
    assert!(frames.push(&part).is_none(), "no event is that large");
}

proptest! {
    /// However the bytes are cut, what is passed on is the same.
    #[test]
    fn frames_any_cut(cuts in proptest::collection::vec(1usize..9, 1..60), count in 1u32..8) {
        let whole: String = (1..=count).map(|it| format!("id: {it}\ndata: x{it}\n\n")).collect();
        let (mut frames, mut passed, mut rest) = (EventFramer::default(), String::new(), whole.as_bytes());
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (part, left) = rest.split_at((*cut).min(rest.len()));
            let events = frames.push(part).unwrap();
            assert!(events.is_empty() || events.ends_with(b"\n\n"));
            passed.push_str(std::str::from_utf8(&events).unwrap());
            rest = left;
        }
        assert_eq!(passed, whole);
        assert_eq!(frames.last().unwrap(), count.to_string());
    }

    /// All routers together stay within what the fleet may send again, in any window.
    #[test]
    fn retries_within_budget(routers in 1usize..40, gap_ms in 1u64..50, seed in any::<u64>()) {
        let limits = limits();
        let rate = RetryBudgets::rate(&limits, routers);
        let start = Instant::now();
        let mut budgets = vec![RetryBudget::with_rate(rate, start); routers];
        let (mut requests, mut spent) = (0.0, 0.0);
        let steps = 10_000 / gap_ms;
        for step in 0..steps {
            let now = start + Duration::from_millis(step * gap_ms);
            let budget = &mut budgets[(seed.wrapping_add(step) % routers as u64) as usize];
            budget.earn();
            requests += 1.0;
            spent += f64::from(u8::from(budget.spend(now)));
        }
        assert!(spent <= 0.2 * requests + 58.0, "{spent} of {requests}");
    }
}

/// All backend servers fail, day `srv_grey errors all`: retries end at the budget.
#[test]
fn retry_budget_runs_dry() {
    let rate = RetryRate { per_request: 0.1, per_second: 0.5, max_saved: 5.0 };
    let now = Instant::now();
    let mut budget = RetryBudget::with_rate(rate, now);
    let spent = (0..100).filter(|_| {
        budget.earn();
        budget.spend(now)
    });
    assert_eq!(spent.count(), 14, "5 saved up and one for ten of what was earned meanwhile");
}

fn server(name: &str) -> Arc<Server> {
    let record = ServerRecord {
        service: "s".to_owned(),
        address: "127.0.0.1:80".parse().unwrap(),
        domain: "a".to_owned(),
        slots: 4,
        state: ServerState::Ready,
        warm_up: Duration::ZERO,
        born: 1,
        sequence: 1,
    };
    Arc::new(Server::new(name, &record))
}

/// The workers of a service are replaced, day `release`: the new one takes the
/// prefix from the one that had it.
#[test]
fn source_last_holder() {
    let (holders, now) = (PrefixHolders::default(), Instant::now());
    let (old, new) = (server("old"), server("new"));
    assert!(holders.source(1, &new, now).is_none());
    holders.record(1, &old, now);
    assert_eq!(holders.source(1, &new, now).unwrap().id, old.id);
    assert!(holders.source(2, &new, now).is_none());
    assert!(holders.source(1, &old, now).is_none(), "a server is no source for itself");
    holders.record(1, &new, now);
    assert!(holders.holds(1, &new, now) && holders.holds(1, &old, now));
    old.mark_leaving();
    assert!(holders.source(1, &new, now).is_some(), "a leaving server still hands over");
    old.mark_gone();
    assert!(holders.source(1, &new, now).is_none(), "one that is gone does not");
}

#[test]
fn source_forgotten_after_a_while() {
    let (holders, now) = (PrefixHolders::default(), Instant::now());
    holders.record(1, &server("a"), now);
    assert!(holders.source(1, &server("b"), now + Duration::from_secs(61)).is_none());
}

#[test]
fn hop_headers_dropped() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "close, x-hop"),
        ("x-hop", "1"),
        ("keep-alive", "timeout=5"),
        ("transfer-encoding", "chunked"),
        ("content-length", "3"),
        ("expect", "100-continue"),
        ("x-kept", "1"),
    ] {
        headers.insert(name, value.parse().unwrap());
    }
    drop_hop_headers(&mut headers);
    assert_eq!(headers.keys().collect::<Vec<_>>(), ["x-kept"]);
}

/// Pattern: a service that takes 110 connections; idle ones of all routers leave half of
/// them to requests.
#[rstest]
#[case::no_limit(None, 4, 48)]
#[case::small_service(Some(110), 4, 13)]
#[case::engines(Some(370), 4, 46)]
#[case::many_routers(Some(530), 25, 10)]
#[case::very_many_routers(Some(530), 400, 2)]
fn most_kept_by_limit(#[case] limit: Option<u32>, #[case] routers: usize, #[case] most: usize) {
    assert_eq!(ConnectionPool::max_pooled(limit, routers), most);
}

/// Statuses 408, 421, 429 and 503 promise that a request did not run.
#[rstest]
#[case(Refusal::NoRules)]
#[case(Refusal::NoServer)]
#[case(Refusal::NoRoom)]
#[case(Refusal::Crashes)]
#[case(Refusal::ServerFailed)]
#[case(Refusal::TimedOut)]
#[case(Refusal::TooLate)]
#[case(Refusal::Shed)]
fn refusal_promise_is_true(#[case] refusal: Refusal) {
    let promised = refusal.status() == StatusCode::SERVICE_UNAVAILABLE;
    assert_eq!(promised, refusal.verdict() == Verdict::NotRun);
    let response = refusal.response(None);
    assert_eq!(response.status(), refusal.status());
    let back = response.headers().contains_key("retry-after");
    assert!(!back || promised, "only what did not run is asked back");
}
