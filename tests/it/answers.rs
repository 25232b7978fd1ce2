//! Verdicts of every failure point, and answers that are no whole ones.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use filberttiller::daemon::Stop;
use filberttiller::demo::{Fleet, FleetOptions};
use filberttiller::filters::{
    CHAT_HEADER, DEADLINE_HEADER, ORGANISATION_HEADER, REQUEST_HEADER, VERDICT_HEADER,
};
use reqwest::{Method, RequestBuilder, Response};
use rstest::rstest;
use serde_json::{Value, json};
use standins::list::Role;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket};

use crate::fake::{Act, Fake, Seen, answer, chunk, join, stream_head};
use crate::support::{chat_header, start};

const SERVICE: &str = "stockroom-app";
const ENGINES: &str = "assistant-llm";

/// One router without any backend server.
fn bare() -> FleetOptions {
    FleetOptions { routers: 1, engines: 0, canaries: 0, services: 0, ..FleetOptions::default() }
}

async fn bare_fleet() -> Fleet {
    start(bare()).await
}

fn call(fleet: &Fleet, method: Method, path: &str) -> RequestBuilder {
    let url = format!("http://{}{path}", fleet.routers[0].address());
    fleet.http.request(method, url).header(ORGANISATION_HEADER, "dalisay")
}

fn reserve(fleet: &Fleet) -> RequestBuilder {
    call(fleet, Method::POST, "/v1/services/stockroom/orders").body("{}")
}

fn ask(fleet: &Fleet, stream: bool) -> RequestBuilder {
    let body = json!({
        "model": "assistant", "stream": stream, "max_tokens": 2,
        "messages": [{ "role": "user", "content": "which reeds" }],
    });
    call(fleet, Method::POST, "/v1/chat/completions").header(CHAT_HEADER, "c").json(&body)
}

/// Status and verdict; a refusal tells the same verdict in head and body.
async fn outcome(request: RequestBuilder) -> (u16, String) {
    let reply = request.send().await.unwrap();
    let (status, verdict) = (reply.status(), verdict(&reply));
    let body = reply.bytes().await.unwrap();
    if !status.is_success() {
        let body: Value = serde_json::from_slice(&body).unwrap();
        assert_eq!(body["error"]["verdict"], verdict.as_str());
    }
    (status.as_u16(), verdict)
}

fn verdict(reply: &Response) -> String {
    reply.headers()[VERDICT_HEADER].to_str().unwrap().to_owned()
}

/// A socket that holds a port on which nobody listens.
fn closed_port() -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket
}

/// Asks the router's events how often the request ended.
fn final_events(fleet: &Fleet, request: &str) -> usize {
    let finals = [401, 500, 504, 505, 506, 507, 508, 509, 510, 511, 512];
    let events = fleet.routers[0].shared().events.since(0);
    let own = events.iter().filter(|it| it.subject == request);
    let refused = own.clone().filter(|it| it.code == 502 && it.detail.contains("run: "));
    own.filter(|it| finals.contains(&it.code)).count() + refused.count()
}

#[tokio::test]
async fn verdict_of_resolve() {
    let fleet = bare_fleet().await;
    assert_eq!(outcome(reserve(&fleet)).await, (503, "not_run".to_owned()));
    assert_eq!(outcome(ask(&fleet, true)).await, (503, "not_run".to_owned()));
}

#[rstest]
#[case::service(SERVICE, Role::Service)]
#[case::engine(ENGINES, Role::Engine)]
#[tokio::test]
async fn verdict_of_connect(#[case] pool: &str, #[case] role: Role) {
    let fleet = bare_fleet().await;
    let closed = closed_port();
    join(&fleet, closed.local_addr().unwrap(), role, pool).await;
    let request = if role == Role::Service { reserve(&fleet) } else { ask(&fleet, false) };
    assert_eq!(outcome(request).await, (502, "not_run".to_owned()));
}

/// The server takes the connection and ends it while the body is still on its way.
#[tokio::test]
async fn verdict_of_write() {
    let fleet = bare_fleet().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    join(&fleet, listener.local_addr().unwrap(), Role::Service, SERVICE).await;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            stream.read_u8().await.unwrap();
            stream.set_zero_linger().unwrap();
        }
    });
    let request = reserve(&fleet).body(vec![b'x'; 1 << 20]);
    assert_eq!(outcome(request).await, (502, "may_have_run".to_owned()));
}

fn whole_chat(id: &str) -> String {
    let body = json!({ "id": id, "choices": [{ "index": 0 }], "usage": {} });
    answer("200 OK", "content-type: application/json\r\n", &body.to_string())
}

fn token(id: &str, index: u32) -> String {
    chunk(&format!("id: {index}\ndata: {{\"id\":\"{id}\"}}\n\n"))
}

#[rstest]
#[case::first_byte(|_: &Seen| Act::Close(String::new()), 502, "may_have_run")]
#[case::in_head(|_: &Seen| Act::Close("HTTP/1.1 200 O".into()), 502, "may_have_run")]
#[case::no_http(|_: &Seen| Act::Close("220 mail ready\r\n\r\n".into()), 502, "may_have_run")]
#[case::mid_body(
    |_: &Seen| Act::Close("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc".into()),
    502,
    "may_have_run"
)]
#[case::mid_chunk(
    |_: &Seen| Act::Close("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nabc".into()),
    502,
    "may_have_run"
)]
#[case::no_length(|_: &Seen| Act::Close("HTTP/1.1 200 OK\r\n\r\nabc".into()), 502, "may_have_run")]
#[case::two_lengths(
    |_: &Seen| Act::Close("HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd".into()),
    502,
    "may_have_run"
)]
#[case::error(|_: &Seen| Act::Answer(answer("500 X", "", "")), 502, "may_have_run")]
#[case::unavailable(|_: &Seen| Act::Answer(answer("503 X", "", "")), 502, "may_have_run")]
#[case::refusal(
    |_: &Seen| Act::Answer(answer("503 X", "filberttiller-verdict: not_run\r\n", "")),
    502,
    "not_run"
)]
#[case::other_id(
    |_: &Seen| Act::Answer(answer("200 OK", "x-request-id: other\r\n", "abc")),
    502,
    "may_have_run"
)]
#[case::own_id(
    |it: &Seen| Act::Answer(answer("200 OK", &format!("x-request-id: {}\r\n", it.id()), "abc")),
    200,
    "ran"
)]
#[case::redirect(
    |_: &Seen| Act::Answer(answer("307 X", "location: /orders\r\n", "")),
    307,
    "ran"
)]
#[tokio::test]
async fn verdict_of_service(
    #[case] script: fn(&Seen) -> Act,
    #[case] status: u16,
    #[case] verdict: &str,
) {
    let mut options = bare();
    options.settings.traffic.tries = 1;
    let fleet = start(options).await;
    let fake = Fake::start(script).await;
    fake.join(&fleet, Role::Service, SERVICE).await;
    let client = reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .build()
        .unwrap();
    let (_, request) = reserve(&fleet).build_split();
    let reply = client.execute(request.unwrap()).await.unwrap();
    assert_eq!((reply.status().as_u16(), self::verdict(&reply).as_str()), (status, verdict));
    assert_eq!(fake.count(), 1);
    let id = reply.headers()[REQUEST_HEADER].to_str().unwrap();
    assert_eq!(final_events(&fleet, id), 1);
}

#[rstest]
#[case::whole(|it: &Seen| Act::Answer(whole_chat(it.id())), 200, "ran")]
#[case::other_id(|_: &Seen| Act::Answer(whole_chat("other")), 502, "may_have_run")]
#[case::no_json(|_: &Seen| Act::Answer(answer("200 OK", "", "{\"id\":")), 502, "may_have_run")]
#[case::no_choices(
    |it: &Seen| Act::Answer(answer("200 OK", "", &json!({"id": it.id(), "choices": []}).to_string())),
    502,
    "may_have_run"
)]
#[case::cut(
    |it: &Seen| Act::Close(whole_chat(it.id()).trim_end_matches('}').to_owned()),
    502,
    "may_have_run"
)]
#[case::refused(|_: &Seen| Act::Answer(answer("503 X", "", "")), 502, "not_run")]
#[case::busy(|_: &Seen| Act::Answer(answer("429 X", "", "")), 502, "not_run")]
#[case::failed(|_: &Seen| Act::Answer(answer("500 X", "", "")), 502, "may_have_run")]
#[case::rejected(|_: &Seen| Act::Answer(answer("422 X", "", "")), 400, "may_have_run")]
#[tokio::test]
async fn verdict_of_chat(
    #[case] script: fn(&Seen) -> Act,
    #[case] status: u16,
    #[case] verdict: &str,
) {
    let fleet = bare_fleet().await;
    let fake = Fake::start(script).await;
    fake.join(&fleet, Role::Engine, ENGINES).await;
    assert_eq!(outcome(ask(&fleet, false)).await, (status, verdict.to_owned()));
}

#[rstest]
#[case::service(false)]
#[case::chat(true)]
#[tokio::test]
async fn verdict_of_timeout(#[case] chat: bool) {
    let fleet = bare_fleet().await;
    let fake = Fake::start(|_| Act::Hang).await;
    let (role, pool) = if chat { (Role::Engine, ENGINES) } else { (Role::Service, SERVICE) };
    fake.join(&fleet, role, pool).await;
    let request = if chat { ask(&fleet, false) } else { reserve(&fleet) };
    let request = request.header(DEADLINE_HEADER, "100");
    assert_eq!(outcome(request).await, (504, "may_have_run".to_owned()));
}

#[tokio::test]
async fn verdict_of_passed_deadline() {
    let fleet = bare_fleet().await;
    let fake = Fake::start(|_| Act::Hang).await;
    fake.join(&fleet, Role::Service, SERVICE).await;
    let request = reserve(&fleet).header(DEADLINE_HEADER, "0");
    assert_eq!(outcome(request).await, (504, "not_run".to_owned()));
    assert_eq!(fake.count(), 0);
}

/// A first try that may have run is not forgotten when a later one did not.
#[tokio::test]
async fn verdict_over_all_tries() {
    let fleet = bare_fleet().await;
    let fake = Fake::start(|_| Act::Close(String::new())).await;
    fake.join(&fleet, Role::Engine, ENGINES).await;
    let closed = closed_port();
    join(&fleet, closed.local_addr().unwrap(), Role::Engine, ENGINES).await;
    for chat in 0..8 {
        let request = ask(&fleet, false).headers(chat_header(chat));
        let before = fake.count();
        let (_, verdict) = outcome(request).await;
        let reached = fake.count() > before;
        assert_eq!(verdict, if reached { "may_have_run" } else { "not_run" });
    }
    assert!(fake.count() > 0);
}

/// A router that is cut gives no answer, and so no verdict that could be wrong.
#[tokio::test]
async fn verdict_of_shutdown() {
    let fleet = bare_fleet().await;
    let fake = Fake::start(|_| Act::Hang).await;
    fake.join(&fleet, Role::Service, SERVICE).await;
    let sent = tokio::spawn(reserve(&fleet).send());
    fleet.wait_until(|_| fake.count() == 1).await;
    fleet.routers[0].stop(Stop::Cut);
    assert!(sent.await.unwrap().is_err());
}

/// A caller that leaves is noted once, and its whole answer is cancelled.
#[tokio::test]
async fn verdict_of_caller_left() {
    let fleet = bare_fleet().await;
    let fake = Fake::start(|it| match it.line.starts_with("DELETE") {
        true => Act::Answer(answer("200 OK", "", "")),
        false => Act::Hang,
    })
    .await;
    fake.join(&fleet, Role::Engine, ENGINES).await;
    let sent = tokio::spawn(ask(&fleet, false).send());
    fleet.wait_until(|_| fake.count() == 1).await;
    sent.abort();
    fleet.wait_until(|_| fake.count() == 2).await;
    let seen = fake.seen.lock().unwrap().clone();
    assert!(seen[1].line.starts_with(&format!("DELETE /v1/requests/{} ", seen[0].id())));
    fleet.wait_until(|it| final_events(it, seen[0].id()) == 1).await;
    let events = fleet.routers[0].shared().events.since(0);
    assert!(events.iter().any(|it| it.code == 512 && it.subject == seen[0].id()));
}

/// The service closes a kept connection on the second call: the client library
/// must not send that call again.
#[rstest]
#[case::once("POST", 2)]
#[case::read("GET", 3)]
#[tokio::test]
async fn kept_connection_closed(#[case] method: &str, #[case] sent: usize) {
    let fleet = bare_fleet().await;
    let count = AtomicUsize::new(0);
    let fake = Fake::start(move |_| match count.fetch_add(1, Ordering::SeqCst) {
        0 => Act::Answer(answer("200 OK", "", "first")),
        1 => Act::Close(String::new()),
        _ => Act::Answer(answer("200 OK", "", "third")),
    })
    .await;
    fake.join(&fleet, Role::Service, SERVICE).await;
    let other = Fake::start(|_| Act::Answer(answer("200 OK", "", "other"))).await;
    let method: Method = method.parse().unwrap();
    let path = "/v1/services/stockroom/orders";
    assert_eq!(outcome(call(&fleet, method.clone(), path)).await.0, 200);
    other.join(&fleet, Role::Service, SERVICE).await;
    let mut reached = 1;
    while fake.count() < 2 {
        let request = call(&fleet, method.clone(), path).headers(chat_header(reached));
        let (status, verdict) = outcome(request).await;
        reached += 1;
        if fake.count() == 2 {
            let wanted = if sent == 2 { (502, "may_have_run") } else { (200, "ran") };
            assert_eq!((status, verdict.as_str()), wanted);
        }
    }
    assert_eq!(fake.count() + other.count(), reached + usize::from(sent == 3));
}

/// A second answer that lies ready on a kept connection never reaches a call
/// that may not be repeated, and no chat.
#[tokio::test]
async fn stale_answer_dropped() {
    let fleet = bare_fleet().await;
    let fake = Fake::start(|it| {
        let own = answer("200 OK", "", it.header("content-length").unwrap_or("0"));
        Act::Answer(own + &answer("200 OK", "", "stale"))
    })
    .await;
    fake.join(&fleet, Role::Service, SERVICE).await;
    for length in 0..20 {
        let reply = reserve(&fleet).body("x".repeat(length)).send().await.unwrap();
        assert_eq!(reply.text().await.unwrap(), length.to_string());
    }
}

#[tokio::test]
async fn stale_chat_answer_dropped() {
    let fleet = bare_fleet().await;
    let fake = Fake::start(|it| Act::Answer(whole_chat(it.id()) + &whole_chat(it.id()))).await;
    fake.join(&fleet, Role::Engine, ENGINES).await;
    for _ in 0..20 {
        let reply = ask(&fleet, false).send().await.unwrap();
        if reply.status() == 200 {
            let id = reply.headers()[REQUEST_HEADER].to_str().unwrap().to_owned();
            assert_eq!(reply.json::<Value>().await.unwrap()["id"], id);
        }
    }
}

/// Text of a streamed answer; its head never claims that it ran.
async fn streamed(fleet: &Fleet) -> (String, String) {
    let reply = ask(fleet, true).send().await.unwrap();
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
    let fleet = bare_fleet().await;
    let fake = Fake::start(move |it| {
        if !it.line.starts_with("POST") {
            return Act::Answer(answer("404 X", "", ""));
        }
        let events = sent.split(' ').map(|name| match name {
            "D" => chunk("data: [DONE]\n\n"),
            "X" => token("other", 1),
            "B" => chunk("id: 1\ndata: {\n\n"),
            index => token(it.id(), index.parse().unwrap()),
        });
        Act::Close(stream_head() + &events.collect::<String>() + "0\r\n\r\n")
    })
    .await;
    fake.join(&fleet, Role::Engine, ENGINES).await;
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

/// An engine that falls silent within a stream does not hold its caller.
#[tokio::test]
async fn silent_stream_ended() {
    let mut options = bare();
    options.settings.traffic.idle = Duration::from_millis(50);
    let fleet = start(options).await;
    let fake = Fake::start(|it| Act::Answer(stream_head() + &token(it.id(), 0))).await;
    fake.join(&fleet, Role::Engine, ENGINES).await;
    let (id, text) = streamed(&fleet).await;
    assert!(text.contains("event: error") && text.contains("silent"), "{text}");
    fleet
        .wait_until(|_| {
            let seen = fake.seen.lock().unwrap();
            seen.iter().any(|it| it.line.starts_with(&format!("DELETE /v1/requests/{id} ")))
        })
        .await;
}

/// An engine whose event never ends does not fill the memory.
#[tokio::test]
async fn endless_event_ended() {
    let mut options = bare();
    options.settings.limits.answer = "1KiB".parse().unwrap();
    let fleet = start(options).await;
    let fake = Fake::start(|it| match it.line.starts_with("POST") {
        true => Act::Answer(stream_head() + &chunk(&format!("data: {}", "x".repeat(4_000)))),
        false => Act::Answer(answer("404 X", "", "")),
    })
    .await;
    fake.join(&fleet, Role::Engine, ENGINES).await;
    let (_, text) = streamed(&fleet).await;
    assert!(text.contains("event: error") && text.contains("longer than 1024"), "{text}");
}

/// The backend server learns how much time is left.
#[rstest]
#[case::service(false)]
#[case::chat(true)]
#[tokio::test]
async fn deadline_carried(#[case] chat: bool) {
    let fleet = bare_fleet().await;
    let fake = Fake::start(|it| Act::Answer(whole_chat(it.id()))).await;
    let (role, pool) = if chat { (Role::Engine, ENGINES) } else { (Role::Service, SERVICE) };
    fake.join(&fleet, role, pool).await;
    let request = if chat { ask(&fleet, false) } else { reserve(&fleet) };
    assert_eq!(outcome(request.header(DEADLINE_HEADER, "5000")).await.0, 200);
    let seen = fake.seen.lock().unwrap()[0].clone();
    let left: u64 = seen.header(DEADLINE_HEADER).unwrap().parse().unwrap();
    assert!((1..=5_000).contains(&left));
}
