//! Parts of the relay: event framer, retry budgets, prefix holders, headers, connection
//! pool, refusals.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filberttiller::decide::{LoadBound, RetryBudget, RetryRate, Verdict};
use filberttiller::relay::{
    BodyEnd, ConnectionPool, EventFramer, Framing, PrefixHolders, Refusal, RelayLimits,
    RetryBudgets, drop_hop_headers, may_be_events,
};
use filberttiller::servers::Server;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, StatusCode};
use proptest::prelude::{any, proptest};
use rstest::rstest;

use crate::support::server_record;

fn limits() -> RelayLimits {
    RelayLimits {
        key_age: Duration::from_secs(5),
        ready_age: Duration::from_secs(3),
        deny_age: Duration::from_secs(2),
        retry_ratio: 0.2,
        retry_slack: 58.0,
        retry_window: Duration::from_secs(10),
        token_budgets: false,
        wait_for_room: false,
        bound: LoadBound { factor: 1.5, extra: 2.0 },
    }
}

#[test]
fn push_complete_events_only() {
    let mut framer = EventFramer::default();
    assert_eq!(framer.push(Bytes::from_static(b"id: 1\nda")).unwrap(), "");
    assert_eq!(framer.push(Bytes::from_static(b"ta: a\n\nid: 2\n")).unwrap(), "id: 1\ndata: a\n\n");
    assert!(!framer.is_at_boundary());
    assert_eq!(framer.last_id(), Some("1"));
    framer.resume();
    assert_eq!(
        framer.push(Bytes::from_static(b"id: 2\r\ndata: b\r\n\r\n")).unwrap(),
        "id: 2\r\ndata: b\r\n\r\n"
    );
    assert_eq!(framer.last_id(), Some("2"));
    assert!(framer.is_at_boundary());
}

/// Guards against boundaries that are missed where they arrive in pieces.
#[rstest]
#[case::line_feeds("id: 1\n\n")]
#[case::with_returns("id: 1\r\n\r\n")]
fn push_boundary_in_pieces(#[case] event: &'static str, #[values(1, 2, 3, 5)] size: usize) {
    let mut framer = EventFramer::default();
    let pieces = event.as_bytes().chunks(size).map(Bytes::from_static);
    let complete: Vec<Bytes> = pieces.map(|it| framer.push(it).unwrap()).collect();
    assert_eq!(complete.concat(), event.as_bytes());
    assert!(framer.is_at_boundary());
}

/// Guards against broken-off streams that are taken for complete.
#[rstest]
#[case::chunked_whole(Framing::Chunked, "id: 1\n\n", BodyEnd::Complete)]
#[case::chunked_empty(Framing::Chunked, "", BodyEnd::Complete)]
#[case::chunked_in_event(Framing::Chunked, "id: 1\n\nid", BodyEnd::InsideEvent)]
#[case::length_whole(Framing::Length, "id: 1\n\n", BodyEnd::Complete)]
#[case::length_in_event(Framing::Length, "id: 1\n", BodyEnd::InsideEvent)]
#[case::close_whole(Framing::Close, "id: 1\n\nid: 2\r\n\r\n", BodyEnd::Complete)]
#[case::close_empty(Framing::Close, "", BodyEnd::NoEvent)]
#[case::close_before_blank_line(Framing::Close, "id: 1\n\nid: 2\n", BodyEnd::InsideEvent)]
#[case::close_in_line_end(Framing::Close, "id: 1\r\n\r", BodyEnd::InsideEvent)]
fn end_of_events(#[case] framing: Framing, #[case] stream: &str, #[case] end: BodyEnd) {
    let mut events = EventFramer::default();
    events.push(Bytes::copy_from_slice(stream.as_bytes())).unwrap();
    assert_eq!(BodyEnd::of_events(framing, &events), end);
}

/// Guards against a resumed stream that counts events from before it broke.
#[test]
fn end_of_events_after_resume() {
    let mut events = EventFramer::default();
    events.push(Bytes::from_static(b"id: 1\n\nid: 2")).unwrap();
    events.resume();
    assert_eq!(BodyEnd::of_events(Framing::Close, &events), BodyEnd::NoEvent);
    events.push(Bytes::from_static(b"id: 2\n\n")).unwrap();
    assert_eq!(BodyEnd::of_events(Framing::Close, &events), BodyEnd::Complete);
}

/// Guards against streams that are read whole, unchecked, because their media type is written
/// in another way.
#[rstest]
#[case::absent(None, true)]
#[case::usual(Some("text/event-stream"), true)]
#[case::upper_case(Some("Text/Event-Stream"), true)]
#[case::parameter(Some("text/event-stream; charset=utf-8"), true)]
#[case::json(Some("application/json"), false)]
#[case::shorter(Some("text/event"), false)]
fn may_be_events_by_type(#[case] stated: Option<&'static str>, #[case] expected: bool) {
    let mut headers = HeaderMap::new();
    if let Some(it) = stated {
        headers.insert("content-type", HeaderValue::from_static(it));
    }
    assert_eq!(may_be_events(&headers), expected);
}

#[test]
fn push_event_too_large() {
    let mut framer = EventFramer::default();
    let part = Bytes::from(vec![b'x'; 600 * 1024]);
    assert!(framer.push(part.clone()).is_some());
    assert!(framer.push(part).is_none(), "the event exceeds the limit");
}

proptest! {
    /// The relayed bytes are the same, however the stream is split into reads.
    #[test]
    fn push_any_split(cuts in proptest::collection::vec(1usize..9, 1..60), count in 1u32..8) {
        let stream: String = (1..=count).map(|it| format!("id: {it}\ndata: x{it}\n\n")).collect();
        let mut framer = EventFramer::default();
        let (mut relayed, mut rest) = (String::new(), stream.as_bytes());
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (part, remaining) = rest.split_at((*cut).min(rest.len()));
            let events = framer.push(Bytes::copy_from_slice(part)).unwrap();
            assert!(events.is_empty() || events.ends_with(b"\n\n"));
            relayed.push_str(std::str::from_utf8(&events).unwrap());
            rest = remaining;
        }
        assert_eq!(relayed, stream);
        assert_eq!(framer.last_id().unwrap(), count.to_string());
    }

    /// All routers together stay within the retry budget of the fleet.
    #[test]
    fn rate_fleet_within_budget(routers in 1usize..40, gap_ms in 1u64..50, seed in any::<u64>()) {
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

/// While all backend servers fail, retries stop at the budget instead of multiplying
/// the load.
#[test]
fn spend_until_budget_exhausted() {
    let rate = RetryRate { per_request: 0.1, per_second: 0.5, max_saved: 5.0 };
    let now = Instant::now();
    let mut budget = RetryBudget::with_rate(rate, now);
    let spent = (0..100).filter(|_| {
        budget.earn();
        budget.spend(now)
    });
    assert_eq!(spent.count(), 14, "5 saved and one for every ten requests");
}

fn server(name: &str) -> Arc<Server> {
    Arc::new(Server::new(name, &server_record()))
}

/// When the servers of a service are replaced by a release, the new server fetches the
/// prefix from the former one.
#[test]
fn source_last_holder() {
    let (holders, now) = (PrefixHolders::default(), Instant::now());
    let (old, new) = (server("old"), server("new"));
    assert!(holders.source(1, &new, now, |_| true).is_none());
    holders.record(1, &old, now);
    assert_eq!(holders.source(1, &new, now, |_| true).unwrap().id, old.id);
    assert!(holders.source(2, &new, now, |_| true).is_none());
    assert!(holders.source(1, &old, now, |_| true).is_none(), "a server is no source for itself");
    holders.record(1, &new, now);
    assert!(holders.holds(1, &new, now) && holders.holds(1, &old, now));
    old.mark_leaving();
    assert!(
        holders.source(1, &new, now, |_| true).is_some(),
        "a leaving server still hands over the prefix"
    );
    old.mark_gone();
    assert!(holders.source(1, &new, now, |_| true).is_none(), "a server that is gone does not");
}

#[test]
fn source_expires() {
    let (holders, now) = (PrefixHolders::default(), Instant::now());
    holders.record(1, &server("a"), now);
    assert!(holders.source(1, &server("b"), now + Duration::from_secs(61), |_| true).is_none());
}

#[test]
fn drop_hop_headers_all() {
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

/// A service accepts a limited number of connections from all routers together. Their
/// idle connections must leave half of them to requests in flight.
#[rstest]
#[case::no_limit(None, 4, 48)]
#[case::small_service(Some(110), 4, 13)]
#[case::engines(Some(370), 4, 46)]
#[case::many_routers(Some(530), 25, 10)]
#[case::very_many_routers(Some(530), 400, 2)]
fn max_pooled_by_limit(#[case] limit: Option<u32>, #[case] routers: usize, #[case] max: usize) {
    assert_eq!(ConnectionPool::max_pooled(limit, routers), max);
}

/// Statuses 408, 421, 429 and 503 guarantee to the caller that a request did not run, so a
/// refusal may use 503 only for such a request.
#[rstest]
#[case(Refusal::NoRules)]
#[case(Refusal::NoServer)]
#[case(Refusal::NoRoom)]
#[case(Refusal::Crashes)]
#[case(Refusal::ServerFailed)]
#[case(Refusal::TimedOut)]
#[case(Refusal::TooLate)]
#[case(Refusal::Shed)]
fn refusal_status_matches_verdict(#[case] refusal: Refusal) {
    let is_guaranteed = refusal.status() == StatusCode::SERVICE_UNAVAILABLE;
    assert_eq!(is_guaranteed, refusal.verdict() == Verdict::NotRun);
    let response = refusal.response(None);
    assert_eq!(response.status(), refusal.status());
    let has_retry_after = response.headers().contains_key("retry-after");
    assert!(!has_retry_after || is_guaranteed, "only a request that did not run may be retried");
}
