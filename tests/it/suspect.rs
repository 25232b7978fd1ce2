//! Requests that crash the engines that run them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filberttiller::daemon::{Daemon, status};
use filberttiller::demo::{Caller, ChatTurn, Fleet, FleetOptions};
use filberttiller::fleet::{Crash, CrashReport};
use filberttiller::wire::parse_ticket;
use futures_util::future::join_all;
use rstest::rstest;
use serde_json::{Value, json};
use standins::engine::Faults;

const CRASHING_PROMPT: &str = "the poisoned reed";
/// Time for which a crash counts.
const RELEASE: Duration = Duration::from_secs(600);
/// Age of a crash when it is reported.
const AGE: Duration = Duration::from_secs(30);

fn options() -> FleetOptions {
    FleetOptions { routers: 4, engines: 8, canaries: 0, services: 0, ..FleetOptions::default() }
}

/// A fleet whose engines crash on [`CRASHING_PROMPT`] and restart after `restart_ms`.
async fn fleet(restart_ms: u64) -> Fleet {
    fleet_with_limit(restart_ms, 2).await
}

/// The same, with another limit of crashes.
async fn fleet_with_limit(restart_ms: u64, limit: usize) -> Fleet {
    let mut options = options();
    options.settings.crashes.limit = limit;
    fleet_with_options(options, restart_ms).await
}

/// The same, with other options.
async fn fleet_with_options(options: FleetOptions, restart_ms: u64) -> Fleet {
    let fleet = Fleet::start(options).await.unwrap();
    fleet.publish_first_ticket().await.unwrap();
    let faults =
        Faults { crash_on: Some(CRASHING_PROMPT.to_owned()), restart_ms, ..Faults::default() };
    for it in &fleet.engines {
        it.set_faults(faults.clone());
    }
    fleet
}

fn text(content: &str) -> Vec<Value> {
    vec![json!({ "role": "user", "content": content })]
}

async fn send(
    fleet: &Fleet,
    router: SocketAddr,
    chat: &str,
    content: &str,
    stream: bool,
) -> Result<String, String> {
    let messages = text(content);
    let turn = ChatTurn { messages: &messages, tokens: 4, stream };
    Caller::new(&fleet.http, "dalisay", chat).send(router, &turn).await
}

/// Number of distinct crashes recorded by any router.
fn crash_count(fleet: &Fleet) -> usize {
    let seen = fleet.routers.iter().flat_map(|it| it.shared().crashes.since(0).0);
    let distinct: BTreeSet<_> = seen.map(|it| (it.crash.server, it.crash.incarnation)).collect();
    distinct.len()
}

/// Number of engines that are down: they reset connections before any answer.
async fn down_count(fleet: &Fleet) -> usize {
    let mut count = 0;
    for it in &fleet.engines {
        let reply = fleet.http.get(format!("http://{}/load", it.addr())).send().await;
        count += usize::from(reply.is_err());
    }
    count
}

#[rstest]
#[tokio::test]
async fn resend_in_sequence_crashes_limit(
    #[values(false, true)] stream: bool,
    #[values(1, 2, 3)] limit: usize,
) {
    let fleet = fleet_with_limit(3_600_000, limit).await;
    for round in 0..3 {
        for (i, router) in fleet.routers.iter().enumerate() {
            let chat = format!("chat-{round}-{i}");
            let result = send(&fleet, router.address(), &chat, CRASHING_PROMPT, stream).await;
            assert!(result.is_err(), "{result:?}");
        }
    }
    assert_eq!((down_count(&fleet).await, crash_count(&fleet)), (limit, limit));
    for router in &fleet.routers {
        let result =
            send(&fleet, router.address(), "other", CRASHING_PROMPT, stream).await.unwrap_err();
        assert!(result.contains("\"suspect\"") && result.contains("\"not_run\""), "{result}");
        assert!(result.contains("retry_ms"), "{result}");
    }
}

#[tokio::test]
async fn other_requests_served() {
    let fleet = fleet(3_600_000).await;
    for (i, router) in fleet.routers.iter().enumerate() {
        let _ = send(&fleet, router.address(), &format!("chat-{i}"), CRASHING_PROMPT, false).await;
    }
    for (i, router) in fleet.routers.iter().enumerate() {
        let result =
            send(&fleet, router.address(), &format!("chat-{i}"), "which reeds", false).await;
        assert!(result.is_ok(), "{result:?}");
    }
    assert_eq!(down_count(&fleet).await, 2);
}

#[tokio::test]
async fn restart_counted_as_crash() {
    let fleet = fleet(0).await;
    let known = |it: &Fleet| {
        let known = |r: &filberttiller::daemon::Daemon| {
            let view = r.shared().view.peek();
            view.pools["assistant-llm"].engines.iter().all(|e| e.incarnation != 0)
        };
        it.routers.iter().all(known)
    };
    fleet.wait_until(known).await;
    for (i, router) in fleet.routers.iter().enumerate() {
        let _ = send(&fleet, router.address(), &format!("chat-{i}"), CRASHING_PROMPT, false).await;
    }
    assert_eq!(crash_count(&fleet), 2);
}

#[tokio::test]
async fn cut_answer_not_counted_as_crash() {
    let fleet = Fleet::start(options()).await.unwrap();
    fleet.publish_first_ticket().await.unwrap();
    for it in &fleet.engines {
        it.set_faults(Faults { cut_after: Some(1), ..Faults::default() });
    }
    for router in &fleet.routers {
        assert!(send(&fleet, router.address(), "chat", "which reeds", false).await.is_err());
    }
    assert_eq!(crash_count(&fleet), 0);
}

/// Fingerprints that `router` refuses.
fn suspects(router: &Daemon) -> Vec<String> {
    status(router.shared()).suspects
}

/// A ticket that lifts the suspicion, or restores it.
fn lift(number: u64, name: &str, lifted: bool) -> Value {
    json!({
        "version": 1, "number": number,
        "objects": [{ "kind": "suspect", "name": name, "spec": { "lifted": lifted } }],
    })
}

/// A ticket that lifts the suspicion holds on every router: old reports do not
/// restore it, and new crashes are limited as before.
#[tokio::test]
async fn ticket_lifts_suspicion() {
    let fleet = fleet(3_600_000).await;
    let resend = async || {
        for (i, router) in fleet.routers.iter().enumerate() {
            let _ =
                send(&fleet, router.address(), &format!("chat-{i}"), CRASHING_PROMPT, false).await;
        }
    };
    resend().await;
    assert_eq!(down_count(&fleet).await, 2);
    let name = suspects(&fleet.routers[0])[0].clone();
    let old = fleet.routers[0].shared().crashes.since(0).0;
    fleet.publish(&lift(2, &name, true)).await.unwrap();
    for router in &fleet.routers {
        assert!(suspects(router).is_empty());
        let now = Instant::now();
        for it in &old {
            router.shared().crashes.insert(*it, now);
        }
        let result = send(&fleet, router.address(), "calm", "which reeds", false).await;
        assert!(result.is_ok(), "{result:?}");
        assert!(suspects(router).is_empty());
    }
    resend().await;
    assert_eq!(down_count(&fleet).await, 4);
    for router in &fleet.routers {
        assert_eq!(suspects(router), [name.as_str()]);
    }
    fleet.publish(&lift(3, &name, true)).await.unwrap();
    assert!(fleet.routers.iter().all(|it| suspects(it).is_empty()));
    fleet.publish(&lift(4, &name, false)).await.unwrap();
    assert!(fleet.routers.iter().all(|it| suspects(it) == [name.as_str()]));
    let result =
        send(&fleet, fleet.routers[0].address(), "chat", CRASHING_PROMPT, false).await.unwrap_err();
    assert!(result.contains("\"suspect\"") && result.contains(&name), "{result}");
}

#[rstest]
#[case::good("00ff00ff00ff00ff", json!({ "lifted": true }), true)]
#[case::short("ff", json!({ "lifted": true }), false)]
#[case::upper("00FF00FF00FF00FF", json!({ "lifted": true }), false)]
#[case::no_field("00ff00ff00ff00ff", json!({}), false)]
fn lift_checked(#[case] name: &str, #[case] spec: Value, #[case] good: bool) {
    let ticket = json!({
        "version": 1, "number": 2,
        "objects": [{ "kind": "suspect", "name": name, "spec": spec }],
    });
    assert_eq!(parse_ticket(&ticket.to_string()).is_ok(), good);
}

/// A report that only one router received reaches all others, also one that starts
/// later.
#[tokio::test]
async fn report_spreads_by_gossip() {
    let mut fleet = fleet(0).await;
    let now = Instant::now();
    let crash = Crash { fingerprint: 7, server: 1, incarnation: 2, lift: 0 };
    let report = CrashReport { crash, at: now - AGE };
    assert!(fleet.routers[0].shared().crashes.insert(report, now));
    let known = |it: &Fleet| {
        let deaths = |r: &Daemon| r.shared().crashes.crash_count(7, 0, Instant::now());
        it.routers.iter().all(|it| deaths(it) == 1)
    };
    fleet.wait_until(known).await;
    fleet.add_router().unwrap();
    fleet.wait_until(known).await;
    // The report carries its age, so that it expires everywhere at the same time.
    for router in &fleet.routers {
        assert!(router.shared().crashes.current(now + RELEASE - AGE / 2).is_empty());
    }
}

/// After one crash, concurrent sends to all routers are placed on one engine.
#[rstest]
#[tokio::test]
async fn concurrent_resend_crashes_limit(#[values(false, true)] stream: bool) {
    let mut options = options();
    options.settings.traffic.tries = 1;
    let fleet = fleet_with_options(options, 3_600_000).await;
    let _ = send(&fleet, fleet.routers[0].address(), "first", CRASHING_PROMPT, stream).await;
    assert_eq!(crash_count(&fleet), 1);
    let sends = (0..16).map(|i| {
        let (fleet, router) = (&fleet, fleet.routers[i % 4].address());
        async move { send(fleet, router, &format!("chat-{i}"), CRASHING_PROMPT, stream).await }
    });
    assert!(join_all(sends).await.iter().all(Result::is_err));
    assert_eq!((down_count(&fleet).await, crash_count(&fleet)), (2, 2));
}

/// Number of running requests of each engine.
fn running(fleet: &Fleet) -> Vec<usize> {
    fleet.engines.iter().map(|it| it.load().running).collect()
}

/// Requests in flight beside one that crashes an engine are answered after all, or
/// get a true verdict; no router refuses them later.
#[rstest]
#[tokio::test]
async fn unrelated_request_not_refused(
    #[values(1, 3)] tries: usize,
    #[values(false, true)] stream: bool,
) {
    const REQUESTS: usize = 24;
    let mut options = options();
    options.settings.traffic.tries = tries;
    options.engine.decode = Duration::from_millis(50);
    let fleet = Fleet::start(options).await.unwrap();
    fleet.publish_first_ticket().await.unwrap();
    let ask = |i: usize| {
        let (fleet, router) = (&fleet, fleet.routers[i % 4].address());
        async move { send(fleet, router, &format!("c{i}"), &format!("reed {i}"), stream).await }
    };
    let crash = async {
        fleet.wait_until(|it| running(it).iter().any(|it| *it > 1)).await;
        let count = running(&fleet);
        let busiest = (0..count.len()).max_by_key(|i| count[*i]).unwrap();
        fleet.engines[busiest].crash(Duration::from_secs(3_600));
    };
    let (result, ()) = tokio::join!(join_all((0..REQUESTS).map(ask)), crash);
    assert_eq!(crash_count(&fleet), 1);
    for error in result.into_iter().filter_map(Result::err) {
        assert!(tries == 1 || stream, "{error}");
        assert!(!error.contains("\"suspect\""), "{error}");
        let request = error.split("\"request\":\"").nth(1).unwrap().split('"').next().unwrap();
        let ran = fleet.engines.iter().any(|it| it.runs(request) > 0);
        let not_run = error.contains("\"not_run\"");
        assert!(not_run || error.contains("\"may_have_run\""), "{error}");
        assert!(!(not_run && ran), "{error}");
    }
    for it in join_all((0..REQUESTS).map(ask)).await {
        assert!(it.is_ok(), "{it:?}");
    }
}

/// A crash after the caller left counts like any other.
#[rstest]
#[tokio::test]
async fn crash_after_caller_left_counted(#[values(false, true)] stream: bool) {
    let mut options = options();
    options.engine.decode = Duration::from_secs(3_600);
    let fleet = Fleet::start(options).await.unwrap();
    fleet.publish_first_ticket().await.unwrap();
    let router = fleet.routers[0].address();
    let mut sent = Box::pin(send(&fleet, router, "chat", "which reeds", stream));
    let started = fleet.wait_until(|it| running(it).contains(&1));
    tokio::select! { _ = &mut sent => unreachable!(), () = started => {} }
    let engine = running(&fleet).iter().position(|it| *it == 1).unwrap();
    drop(sent);
    let has_left =
        |it: &Fleet| it.routers[0].shared().events.since(0).iter().any(|it| it.code == 512);
    fleet.wait_until(has_left).await;
    fleet.engines[engine].crash(Duration::from_secs(3_600));
    fleet.wait_until(|it| it.routers.iter().all(|it| suspects(it).len() == 1)).await;
}

/// Until the stream of a suspect ends, its router refuses the same request. All
/// routers place it on the same engine.
#[tokio::test]
async fn suspect_stream_isolated() {
    let mut options = options();
    options.settings.traffic.tries = 1;
    options.engine.decode = Duration::from_millis(20);
    let fleet = fleet_with_options(options, 3_600_000).await;
    let all: Vec<_> = fleet.routers.iter().map(Daemon::address).collect();
    assert!(send(&fleet, all[0], "first", CRASHING_PROMPT, false).await.is_err());
    for it in &fleet.engines {
        it.set_faults(Faults::default());
    }
    let messages = text(CRASHING_PROMPT);
    let turn = ChatTurn { messages: &messages, tokens: 10_000, stream: true };
    let stream = |i: usize, chat: &str| {
        let mut caller = Caller::new(&fleet.http, "dalisay", chat);
        let (router, turn) = (all[i], &turn);
        async move { caller.send(router, turn).await }
    };
    let mut first = Box::pin(join_all([stream(0, "a"), stream(1, "b")]));
    let two = fleet.wait_until(|it| running(it).iter().sum::<usize>() == 2);
    tokio::select! { it = &mut first => panic!("{it:?}"), () = two => {} }
    assert!(running(&fleet).contains(&2));
    let second = send(&fleet, all[0], "c", CRASHING_PROMPT, false);
    let result = tokio::select! { it = &mut first => panic!("{it:?}"), it = second => it };
    assert!(result.as_ref().is_err_and(|it| it.contains("is already running here")), "{result:?}");
    drop(first);
    while send(&fleet, all[0], "c", CRASHING_PROMPT, false).await.is_err() {}
}
