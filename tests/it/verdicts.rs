//! Verdicts of every failure point.

use filberttiller::daemon::Stop;
use filberttiller::filters::{DEADLINE_HEADER, REQUEST_HEADER};
use rstest::rstest;
use serde_json::json;
use standins::list::Role;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

use crate::bare::{
    ENGINES, SERVICE, ask, bare, bare_fleet, closed_port, final_events, outcome, reserve, verdict,
    whole_chat,
};
use crate::fake::{Act, Fake, Seen, answer, join};
use crate::support::{chat_header, start};

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
