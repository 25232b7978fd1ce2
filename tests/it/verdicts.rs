//! The verdict at every failure point of an attempt.

use filberttiller::daemon::Stop;
use filberttiller::filters::{DEADLINE_HEADER, REQUEST_HEADER};
use rstest::rstest;
use serde_json::json;
use standins::list::Role;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

use crate::scripted_server::{Action, ReceivedRequest, ScriptedServer, http_answer, register};
use crate::single_router::{
    ENGINE_POOL, SERVICE_POOL, chat_answer, chat_request, closed_port, final_events, order_request,
    outcome, single_router, start_single_router, verdict,
};
use crate::support::{chat_header, start};

#[tokio::test]
async fn verdict_of_resolve() {
    let fleet = start_single_router().await;
    assert_eq!(outcome(order_request(&fleet)).await, (503, "not_run".to_owned()));
    assert_eq!(outcome(chat_request(&fleet, true)).await, (503, "not_run".to_owned()));
}

#[rstest]
#[case::service(SERVICE_POOL, Role::Service)]
#[case::engine(ENGINE_POOL, Role::Engine)]
#[tokio::test]
async fn verdict_of_connect(#[case] pool: &str, #[case] role: Role) {
    let fleet = start_single_router().await;
    let closed = closed_port();
    register(&fleet, closed.local_addr().unwrap(), role, pool).await;
    let request =
        if role == Role::Service { order_request(&fleet) } else { chat_request(&fleet, false) };
    assert_eq!(outcome(request).await, (502, "not_run".to_owned()));
}

/// The server accepts the connection and closes it while the body is being sent.
#[tokio::test]
async fn verdict_of_write() {
    let fleet = start_single_router().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    register(&fleet, listener.local_addr().unwrap(), Role::Service, SERVICE_POOL).await;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            stream.read_u8().await.unwrap();
            stream.set_zero_linger().unwrap();
        }
    });
    let request = order_request(&fleet).body(vec![b'x'; 1 << 20]);
    assert_eq!(outcome(request).await, (502, "may_have_run".to_owned()));
}

#[rstest]
#[case::first_byte(|_: &ReceivedRequest| Action::Close(String::new()), 502, "may_have_run")]
#[case::in_head(|_: &ReceivedRequest| Action::Close("HTTP/1.1 200 O".into()), 502, "may_have_run")]
#[case::no_http(|_: &ReceivedRequest| Action::Close("220 mail ready\r\n\r\n".into()), 502, "may_have_run")]
#[case::mid_body(
    |_: &ReceivedRequest| Action::Close("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc".into()),
    502,
    "may_have_run"
)]
#[case::mid_chunk(
    |_: &ReceivedRequest| Action::Close("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nabc".into()),
    502,
    "may_have_run"
)]
#[case::no_length(|_: &ReceivedRequest| Action::Close("HTTP/1.1 200 OK\r\n\r\nabc".into()), 502, "may_have_run")]
#[case::two_lengths(
    |_: &ReceivedRequest| Action::Close("HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd".into()),
    502,
    "may_have_run"
)]
#[case::error(|_: &ReceivedRequest| Action::Answer(http_answer("500 X", "", "")), 502, "may_have_run")]
#[case::unavailable(|_: &ReceivedRequest| Action::Answer(http_answer("503 X", "", "")), 502, "may_have_run")]
#[case::refusal(
    |_: &ReceivedRequest| Action::Answer(http_answer("503 X", "filberttiller-verdict: not_run\r\n", "")),
    502,
    "not_run"
)]
#[case::other_id(
    |_: &ReceivedRequest| Action::Answer(http_answer("200 OK", "x-request-id: other\r\n", "abc")),
    502,
    "may_have_run"
)]
#[case::own_id(
    |it: &ReceivedRequest| Action::Answer(http_answer("200 OK", &format!("x-request-id: {}\r\n", it.id()), "abc")),
    200,
    "ran"
)]
#[case::redirect(
    |_: &ReceivedRequest| Action::Answer(http_answer("307 X", "location: /orders\r\n", "")),
    307,
    "ran"
)]
#[tokio::test]
async fn verdict_of_service(
    #[case] script: fn(&ReceivedRequest) -> Action,
    #[case] status: u16,
    #[case] verdict: &str,
) {
    let mut options = single_router();
    options.settings.traffic.tries = 1;
    let fleet = start(options).await;
    let server = ScriptedServer::start(script).await;
    server.register(&fleet, Role::Service, SERVICE_POOL).await;
    let client = reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .build()
        .unwrap();
    let (_, request) = order_request(&fleet).build_split();
    let reply = client.execute(request.unwrap()).await.unwrap();
    assert_eq!((reply.status().as_u16(), self::verdict(&reply).as_str()), (status, verdict));
    assert_eq!(server.count(), 1);
    let id = reply.headers()[REQUEST_HEADER].to_str().unwrap();
    assert_eq!(final_events(&fleet, id), 1);
}

#[rstest]
#[case::whole(|it: &ReceivedRequest| Action::Answer(chat_answer(it.id())), 200, "ran")]
#[case::other_id(|_: &ReceivedRequest| Action::Answer(chat_answer("other")), 502, "may_have_run")]
#[case::no_json(|_: &ReceivedRequest| Action::Answer(http_answer("200 OK", "", "{\"id\":")), 502, "may_have_run")]
#[case::no_choices(
    |it: &ReceivedRequest| Action::Answer(http_answer("200 OK", "", &json!({"id": it.id(), "choices": []}).to_string())),
    502,
    "may_have_run"
)]
#[case::cut(
    |it: &ReceivedRequest| Action::Close(chat_answer(it.id()).trim_end_matches('}').to_owned()),
    502,
    "may_have_run"
)]
#[case::refused(|_: &ReceivedRequest| Action::Answer(http_answer("503 X", "", "")), 502, "not_run")]
#[case::busy(|_: &ReceivedRequest| Action::Answer(http_answer("429 X", "", "")), 502, "not_run")]
#[case::failed(|_: &ReceivedRequest| Action::Answer(http_answer("500 X", "", "")), 502, "may_have_run")]
#[case::rejected(|_: &ReceivedRequest| Action::Answer(http_answer("422 X", "", "")), 400, "may_have_run")]
#[tokio::test]
async fn verdict_of_chat(
    #[case] script: fn(&ReceivedRequest) -> Action,
    #[case] status: u16,
    #[case] verdict: &str,
) {
    let fleet = start_single_router().await;
    let server = ScriptedServer::start(script).await;
    server.register(&fleet, Role::Engine, ENGINE_POOL).await;
    assert_eq!(outcome(chat_request(&fleet, false)).await, (status, verdict.to_owned()));
}

#[rstest]
#[case::service(false)]
#[case::chat(true)]
#[tokio::test]
async fn verdict_of_timeout(#[case] chat: bool) {
    let fleet = start_single_router().await;
    let server = ScriptedServer::start(|_| Action::Hang).await;
    let (role, pool) =
        if chat { (Role::Engine, ENGINE_POOL) } else { (Role::Service, SERVICE_POOL) };
    server.register(&fleet, role, pool).await;
    let request = if chat { chat_request(&fleet, false) } else { order_request(&fleet) };
    let request = request.header(DEADLINE_HEADER, "100");
    assert_eq!(outcome(request).await, (504, "may_have_run".to_owned()));
}

#[tokio::test]
async fn verdict_of_passed_deadline() {
    let fleet = start_single_router().await;
    let server = ScriptedServer::start(|_| Action::Hang).await;
    server.register(&fleet, Role::Service, SERVICE_POOL).await;
    let request = order_request(&fleet).header(DEADLINE_HEADER, "0");
    assert_eq!(outcome(request).await, (504, "not_run".to_owned()));
    assert_eq!(server.count(), 0);
}

/// The verdict covers all attempts: it stays `may_have_run` when a first attempt may
/// have run and a later one did not.
#[tokio::test]
async fn verdict_over_all_attempts() {
    let fleet = start_single_router().await;
    let server = ScriptedServer::start(|_| Action::Close(String::new())).await;
    server.register(&fleet, Role::Engine, ENGINE_POOL).await;
    let closed = closed_port();
    register(&fleet, closed.local_addr().unwrap(), Role::Engine, ENGINE_POOL).await;
    for chat in 0..8 {
        let request = chat_request(&fleet, false).headers(chat_header(chat));
        let before = server.count();
        let (_, verdict) = outcome(request).await;
        let reached = server.count() > before;
        assert_eq!(verdict, if reached { "may_have_run" } else { "not_run" });
    }
    assert!(server.count() > 0);
}

/// A router that is stopped abruptly gives no answer, and so no wrong verdict.
#[tokio::test]
async fn verdict_of_shutdown() {
    let fleet = start_single_router().await;
    let server = ScriptedServer::start(|_| Action::Hang).await;
    server.register(&fleet, Role::Service, SERVICE_POOL).await;
    let sent = tokio::spawn(order_request(&fleet).send());
    fleet.wait_until(|_| server.count() == 1).await;
    fleet.routers[0].stop(Stop::Cut);
    assert!(sent.await.unwrap().is_err());
}

/// A caller that leaves is recorded once, and its request without a stream is
/// cancelled at the engine.
#[tokio::test]
async fn verdict_of_caller_left() {
    let fleet = start_single_router().await;
    let server = ScriptedServer::start(|it| match it.line.starts_with("DELETE") {
        true => Action::Answer(http_answer("200 OK", "", "")),
        false => Action::Hang,
    })
    .await;
    server.register(&fleet, Role::Engine, ENGINE_POOL).await;
    let sent = tokio::spawn(chat_request(&fleet, false).send());
    fleet.wait_until(|_| server.count() == 1).await;
    sent.abort();
    fleet.wait_until(|_| server.count() == 2).await;
    let received = server.received.lock().unwrap().clone();
    assert!(received[1].line.starts_with(&format!("DELETE /v1/requests/{} ", received[0].id())));
    fleet.wait_until(|it| final_events(it, received[0].id()) == 1).await;
    let events = fleet.routers[0].shared().events.since(0);
    assert!(events.iter().any(|it| it.code == 512 && it.subject == received[0].id()));
}
