//! Faulty answers of backend servers, and streams.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use filberttiller::demo::Fleet;
use filberttiller::filters::{DEADLINE_HEADER, REQUEST_HEADER};
use reqwest::Method;
use rstest::rstest;
use serde_json::Value;
use standins::list::Role;

use crate::scripted_server::{Action, ScriptedServer, chunk, http_answer, stream_head};
use crate::single_router::{
    ENGINE_POOL, SERVICE_POOL, call, chat_answer, chat_request, final_events, order_request,
    outcome, single_router, start_single_router, token_event, verdict,
};
use crate::support::{chat_header, start};

/// The service closes a pooled connection on the second request. The HTTP client
/// must not send an at-most-once call again by itself.
#[rstest]
#[case::once("POST", 2)]
#[case::read("GET", 3)]
#[tokio::test]
async fn pooled_connection_closed(#[case] method: &str, #[case] sent: usize) {
    let fleet = start_single_router().await;
    let count = AtomicUsize::new(0);
    let server = ScriptedServer::start(move |_| match count.fetch_add(1, Ordering::SeqCst) {
        0 => Action::Answer(http_answer("200 OK", "", "first")),
        1 => Action::Close(String::new()),
        _ => Action::Answer(http_answer("200 OK", "", "third")),
    })
    .await;
    server.register(&fleet, Role::Service, SERVICE_POOL).await;
    let other = ScriptedServer::start(|_| Action::Answer(http_answer("200 OK", "", "other"))).await;
    let method: Method = method.parse().unwrap();
    let path = "/v1/services/stockroom/orders";
    assert_eq!(outcome(call(&fleet, method.clone(), path)).await.0, 200);
    other.register(&fleet, Role::Service, SERVICE_POOL).await;
    let mut reached = 1;
    while server.count() < 2 {
        let request = call(&fleet, method.clone(), path).headers(chat_header(reached));
        let (status, verdict) = outcome(request).await;
        reached += 1;
        if server.count() == 2 {
            let wanted = if sent == 2 { (502, "may_have_run") } else { (200, "ran") };
            assert_eq!((status, verdict.as_str()), wanted);
        }
    }
    assert_eq!(server.count() + other.count(), reached + usize::from(sent == 3));
}

/// A surplus answer that waits on a pooled connection never reaches a later
/// at-most-once call.
#[tokio::test]
async fn stale_answer_dropped() {
    let fleet = start_single_router().await;
    let server = ScriptedServer::start(|it| {
        let own = http_answer("200 OK", "", it.header("content-length").unwrap_or("0"));
        Action::Answer(own + &http_answer("200 OK", "", "stale"))
    })
    .await;
    server.register(&fleet, Role::Service, SERVICE_POOL).await;
    for length in 0..20 {
        let reply = order_request(&fleet).body("x".repeat(length)).send().await.unwrap();
        assert_eq!(reply.text().await.unwrap(), length.to_string());
    }
}

/// A surplus answer that waits on a pooled connection never reaches another chat.
#[tokio::test]
async fn stale_chat_answer_dropped() {
    let fleet = start_single_router().await;
    let server =
        ScriptedServer::start(|it| Action::Answer(chat_answer(it.id()) + &chat_answer(it.id())))
            .await;
    server.register(&fleet, Role::Engine, ENGINE_POOL).await;
    for _ in 0..20 {
        let reply = chat_request(&fleet, false).send().await.unwrap();
        if reply.status() == 200 {
            let id = reply.headers()[REQUEST_HEADER].to_str().unwrap().to_owned();
            assert_eq!(reply.json::<Value>().await.unwrap()["id"], id);
        }
    }
}

/// Request id and text of a streamed answer; the verdict in its head is `may_have_run`.
async fn streamed(fleet: &Fleet) -> (String, String) {
    let reply = chat_request(fleet, true).send().await.unwrap();
    assert_eq!(verdict(&reply), "may_have_run");
    let id = reply.headers()[REQUEST_HEADER].to_str().unwrap().to_owned();
    (id, reply.text().await.unwrap())
}

#[rstest]
#[case::whole("0 1 D", "0 1 D")]
#[case::repeated("0 1 1 D", "0 1 E")]
#[case::left_out("0 2 D", "0 E")]
#[case::out_of_order("1 0 D", "E")]
#[case::other_id("0 X D", "0 E")]
#[case::broken("0 B D", "0 E")]
#[case::no_end("0 1", "0 1 E")]
#[tokio::test]
async fn stream_checked(#[case] sent: &'static str, #[case] passed: &str) {
    let fleet = start_single_router().await;
    let server = ScriptedServer::start(move |it| {
        if !it.line.starts_with("POST") {
            return Action::Answer(http_answer("404 X", "", ""));
        }
        let events = sent.split(' ').map(|name| match name {
            "D" => chunk("data: [DONE]\n\n"),
            "X" => token_event("other", 1),
            "B" => chunk("id: 1\ndata: {\n\n"),
            index => token_event(it.id(), index.parse().unwrap()),
        });
        Action::Close(stream_head() + &events.collect::<String>() + "0\r\n\r\n")
    })
    .await;
    server.register(&fleet, Role::Engine, ENGINE_POOL).await;
    let (id, text) = streamed(&fleet).await;
    let expected: String = passed
        .split(' ')
        .filter(|it| *it != "E")
        .map(|name| match name {
            "D" => "data: [DONE]\n\n".to_owned(),
            index => format!("id: {index}\ndata: {{\"id\":\"{id}\"}}\n\n"),
        })
        .collect();
    if passed.ends_with('E') {
        let error = text.strip_prefix(&expected).unwrap();
        assert!(error.starts_with("event: error\n") && error.contains("may_have_run"), "{error}");
    } else {
        assert_eq!(text, expected);
    }
    assert_eq!(final_events(&fleet, &id), 1);
}

/// A stream ends with an error when the engine sends nothing for the idle timeout,
/// and the request is cancelled at the engine.
#[tokio::test]
async fn silent_stream_ended() {
    let mut options = single_router();
    options.settings.traffic.idle = Duration::from_millis(50);
    let fleet = start(options).await;
    let server =
        ScriptedServer::start(|it| Action::Answer(stream_head() + &token_event(it.id(), 0))).await;
    server.register(&fleet, Role::Engine, ENGINE_POOL).await;
    let (id, text) = streamed(&fleet).await;
    assert!(text.contains("event: error") && text.contains("silent"), "{text}");
    fleet
        .wait_until(|_| {
            let received = server.received.lock().unwrap();
            received.iter().any(|it| it.line.starts_with(&format!("DELETE /v1/requests/{id} ")))
        })
        .await;
}

/// An event above the size limit ends the stream, so it cannot exhaust memory.
#[tokio::test]
async fn endless_event_ended() {
    let mut options = single_router();
    options.settings.limits.answer = "1KiB".parse().unwrap();
    let fleet = start(options).await;
    let server = ScriptedServer::start(|it| match it.line.starts_with("POST") {
        true => Action::Answer(stream_head() + &chunk(&format!("data: {}", "x".repeat(4_000)))),
        false => Action::Answer(http_answer("404 X", "", "")),
    })
    .await;
    server.register(&fleet, Role::Engine, ENGINE_POOL).await;
    let (_, text) = streamed(&fleet).await;
    assert!(text.contains("event: error") && text.contains("longer than 1024"), "{text}");
}

/// The backend server receives the remaining time.
#[rstest]
#[case::service(false)]
#[case::chat(true)]
#[tokio::test]
async fn deadline_carried(#[case] chat: bool) {
    let fleet = start_single_router().await;
    let server = ScriptedServer::start(|it| Action::Answer(chat_answer(it.id()))).await;
    let (role, pool) =
        if chat { (Role::Engine, ENGINE_POOL) } else { (Role::Service, SERVICE_POOL) };
    server.register(&fleet, role, pool).await;
    let request = if chat { chat_request(&fleet, false) } else { order_request(&fleet) };
    assert_eq!(outcome(request.header(DEADLINE_HEADER, "5000")).await.0, 200);
    let received = server.received.lock().unwrap()[0].clone();
    let remaining: u64 = received.header(DEADLINE_HEADER).unwrap().parse().unwrap();
    assert!((1..=5_000).contains(&remaining));
}

/// A stream that exceeds its deadline ends with that reason and the code of the
/// recorded event.
#[tokio::test]
async fn late_stream_ended() {
    let fleet = start_single_router().await;
    let server =
        ScriptedServer::start(|it| Action::Answer(stream_head() + &token_event(it.id(), 0))).await;
    server.register(&fleet, Role::Engine, ENGINE_POOL).await;
    let reply = chat_request(&fleet, true).header(DEADLINE_HEADER, "100").send().await.unwrap();
    let id = reply.headers()[REQUEST_HEADER].to_str().unwrap().to_owned();
    let text = reply.text().await.unwrap();
    let error = text.split("event: error\ndata: ").nth(1).unwrap();
    let error: Value = serde_json::from_str(error.trim()).unwrap();
    assert_eq!(error["error"]["reason"], "deadline_passed");
    assert_eq!(error["error"]["verdict"], "may_have_run");
    let event = error["error"]["event"].as_u64().unwrap();
    let events = fleet.routers[0].shared().events.since(0);
    assert!(events.iter().any(|it| u64::from(it.code) == event && it.subject == id));
}
