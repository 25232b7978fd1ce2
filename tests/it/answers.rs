//! Answers that are no whole ones, and streams.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use filberttiller::demo::Fleet;
use filberttiller::filters::{DEADLINE_HEADER, REQUEST_HEADER};
use reqwest::Method;
use rstest::rstest;
use serde_json::Value;
use standins::list::Role;

use crate::bare::{
    ENGINES, SERVICE, ask, bare, bare_fleet, call, final_events, outcome, reserve, token, verdict,
    whole_chat,
};
use crate::fake::{Act, Fake, answer, chunk, stream_head};
use crate::support::{chat_header, start};

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

/// A stream that outlasts its deadline says so, and names the event recorded.
#[tokio::test]
async fn late_stream_ended() {
    let fleet = bare_fleet().await;
    let fake = Fake::start(|it| Act::Answer(stream_head() + &token(it.id(), 0))).await;
    fake.join(&fleet, Role::Engine, ENGINES).await;
    let reply = ask(&fleet, true).header(DEADLINE_HEADER, "100").send().await.unwrap();
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
