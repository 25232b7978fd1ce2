//! Requests that crash the engines that run them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filberttiller::decide::{Care, care};
use filberttiller::demo::{Ask, Caller, Fleet, FleetOptions};
use filberttiller::fleet::{Crash, CrashBoard};
use rstest::rstest;
use serde_json::{Value, json};
use standins::engine::Faults;

const BAD: &str = "the poisoned reed";

fn options() -> FleetOptions {
    FleetOptions { routers: 4, engines: 8, canaries: 0, services: 0, ..FleetOptions::default() }
}

/// A fleet whose engines go down for good when they read [`BAD`].
async fn fleet(restart_ms: u64) -> Fleet {
    limited(restart_ms, 2).await
}

/// The same, with another limit.
async fn limited(restart_ms: u64, limit: usize) -> Fleet {
    let mut options = options();
    options.settings.crashes.limit = limit;
    let fleet = Fleet::start(options).await.unwrap();
    fleet.publish_first().await.unwrap();
    let faults = Faults { crash_on: Some(BAD.to_owned()), restart_ms, ..Faults::default() };
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
    let ask = Ask { messages: &messages, tokens: 4, stream };
    Caller::new(&fleet.http, "dalisay", chat).ask(router, &ask).await
}

/// Crashes seen by any router.
fn lost(fleet: &Fleet) -> usize {
    let seen = fleet.routers.iter().flat_map(|it| it.shared().crashes.since(0));
    let distinct: std::collections::BTreeSet<_> =
        seen.map(|it| (it.server, it.incarnation)).collect();
    distinct.len()
}

/// Engines that are down: a connection is reset before any answer.
async fn down(fleet: &Fleet) -> usize {
    let mut count = 0;
    for it in &fleet.engines {
        let reply = fleet.http.get(format!("http://{}/load", it.addr())).send().await;
        count += usize::from(reply.is_err());
    }
    count
}

#[rstest]
#[tokio::test]
async fn resent_in_turn_costs_limit(
    #[values(false, true)] stream: bool,
    #[values(1, 2, 3)] limit: usize,
) {
    let fleet = limited(3_600_000, limit).await;
    for round in 0..3 {
        for (i, router) in fleet.routers.iter().enumerate() {
            let chat = format!("chat-{round}-{i}");
            let told = send(&fleet, router.address(), &chat, BAD, stream).await;
            assert!(told.is_err(), "{told:?}");
        }
    }
    assert_eq!((down(&fleet).await, lost(&fleet)), (limit, limit));
    for router in &fleet.routers {
        let told = send(&fleet, router.address(), "other", BAD, stream).await.unwrap_err();
        assert!(told.contains("\"suspect\"") && told.contains("\"not_run\""), "{told}");
        assert!(told.contains("retry_ms"), "{told}");
    }
}

#[tokio::test]
async fn others_are_served_beside_it() {
    let fleet = fleet(3_600_000).await;
    for (i, router) in fleet.routers.iter().enumerate() {
        let _ = send(&fleet, router.address(), &format!("chat-{i}"), BAD, false).await;
    }
    for (i, router) in fleet.routers.iter().enumerate() {
        let told = send(&fleet, router.address(), &format!("chat-{i}"), "which reeds", false).await;
        assert!(told.is_ok(), "{told:?}");
    }
    assert_eq!(down(&fleet).await, 2);
}

#[tokio::test]
async fn restarted_engine_counts() {
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
        let _ = send(&fleet, router.address(), &format!("chat-{i}"), BAD, false).await;
    }
    assert_eq!(lost(&fleet), 2);
}

#[tokio::test]
async fn cut_answer_of_living_engine_is_no_crash() {
    let fleet = Fleet::start(options()).await.unwrap();
    fleet.publish_first().await.unwrap();
    for it in &fleet.engines {
        it.set_faults(Faults { cut_after: Some(1), ..Faults::default() });
    }
    for router in &fleet.routers {
        assert!(send(&fleet, router.address(), "chat", "which reeds", false).await.is_err());
    }
    assert_eq!(lost(&fleet), 0);
}

#[rstest]
#[case::none(0, Care::Free)]
#[case::one(1, Care::Alone)]
#[case::limit(2, Care::Refuse)]
#[case::more(3, Care::Refuse)]
fn care_by_deaths(#[case] deaths: usize, #[case] expected: Care) {
    assert_eq!(care(deaths, 2), expected);
}

#[test]
fn board_releases_after_time() {
    let board = CrashBoard::default();
    let (start, release) = (Instant::now(), Duration::from_secs(10));
    for server in 0..2 {
        let crash = Crash { fingerprint: 7, server, incarnation: 1 };
        assert!(board.insert(crash));
        assert!(!board.insert(crash));
    }
    assert_eq!(board.deaths(7, start, release), 2);
    assert_eq!(board.deaths(8, start, release), 0);
    assert_eq!(board.deaths(7, start + release, release), 0);
}
