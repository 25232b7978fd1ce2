//! Streams, retries and complete answers under faults.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use eventsource_stream::{Event, Eventsource};
use filberttiller::demo::{Caller, ChatTurn, Fleet, FleetOptions, prompt};
use filberttiller::filters::{
    CHAT_HEADER, HINT_HEADER, ORGANISATION_HEADER, REQUEST_HEADER, VERDICT_HEADER,
};
use futures_util::StreamExt;
use reqwest::RequestBuilder;
use rstest::rstest;
use serde_json::{Value, json};
use standins::engine::{Faults, answer};
use standins::list::Role;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::scripted_server::{Action, ScriptedServer, chunk, http_answer, register, stream_head};
use crate::support::{chat_header, header, question, small, start};

fn chat_request(fleet: &Fleet, router: usize, tokens: u32, stream: bool) -> RequestBuilder {
    let url = format!("http://{}/v1/chat/completions", fleet.routers[router].address());
    let body = json!({
        "model": "assistant", "stream": stream, "max_tokens": tokens, "messages": question("reeds"),
    });
    fleet.http.post(url).header(ORGANISATION_HEADER, "dalisay").header(CHAT_HEADER, "c").json(&body)
}

fn has_event(fleet: &Fleet, code: u16, subject: &str) -> bool {
    let events = fleet.routers.iter().flat_map(|it| it.shared().events.since(0));
    events.into_iter().any(|it| it.code == code && it.subject == subject)
}

/// Text of one event of a chat stream.
fn text(event: &Event) -> String {
    let data: Value = serde_json::from_str(&event.data).unwrap();
    data["choices"][0]["delta"]["content"].as_str().unwrap_or_default().to_owned()
}

#[tokio::test]
async fn broken_stream_resumed_by_router() {
    let fleet = start(small()).await;
    for it in &fleet.engines {
        it.set_faults(Faults { drop_after: Some(3), ..Faults::default() });
    }
    let mut caller = Caller::new(&fleet.http, "dalisay", "c");
    let messages = question("reeds");
    let turn = ChatTurn { messages: &messages, tokens: 20, stream: true };
    caller.send(fleet.routers[0].address(), &turn).await.unwrap();
    let events = fleet.routers[0].shared().events.since(0);
    assert!(events.iter().any(|it| it.code == 513));
    assert_eq!(fleet.engines.iter().map(|it| it.total_runs()).sum::<u64>(), 1);
}

#[tokio::test]
async fn stream_resumed_by_caller_at_other_router() {
    let fleet = start(small()).await;
    let reply = chat_request(&fleet, 0, 200, true).send().await.unwrap();
    let (id, hint) = (header(&reply, REQUEST_HEADER), header(&reply, HINT_HEADER));
    let mut events = reply.bytes_stream().eventsource();
    let mut got = String::new();
    let mut last = String::new();
    for _ in 0..5 {
        let event = events.next().await.unwrap().unwrap();
        got.push_str(&text(&event));
        last = event.id;
    }
    drop(events);
    let url = format!("http://{}/v1/streams/{id}", fleet.routers[1].address());
    let resume = |organisation: &str, last: &str| {
        let request = fleet.http.get(&url).header(ORGANISATION_HEADER, organisation.to_owned());
        request.header(CHAT_HEADER, "c").header(HINT_HEADER, &hint).header("last-event-id", last)
    };
    let other = resume("pierscionkowo", &last).send().await.unwrap();
    assert_eq!(
        (other.status().as_u16(), header(&other, VERDICT_HEADER).as_str()),
        (404, "not_run")
    );
    let broken = resume("dalisay", "-1").send().await.unwrap();
    assert_eq!(broken.status().as_u16(), 400);
    let rest = resume("dalisay", &last).send().await.unwrap();
    assert_eq!(header(&rest, REQUEST_HEADER), id);
    let mut rest = rest.bytes_stream().eventsource();
    loop {
        let event = rest.next().await.unwrap().unwrap();
        if event.data == "[DONE]" {
            break;
        }
        got.push_str(&text(&event));
    }
    assert_eq!(got, answer(&prompt(&question("reeds")), 200));
}

/// A request id with one changed character, or a shortened one, is refused.
#[tokio::test]
async fn forged_stream_id_refused() {
    let fleet = start(small()).await;
    let reply = chat_request(&fleet, 0, 4, true).send().await.unwrap();
    let (id, hint) = (header(&reply, REQUEST_HEADER), header(&reply, HINT_HEADER));
    let changed = |i: usize| {
        let mut bytes = id.clone().into_bytes();
        bytes[i] = if bytes[i] == b'0' { b'1' } else { b'0' };
        String::from_utf8(bytes).unwrap()
    };
    for forged in [changed(0), changed(31), id[..16].to_owned(), String::new()] {
        let url = format!("http://{}/v1/streams/{forged}", fleet.routers[0].address());
        let request = fleet.http.get(url).header(ORGANISATION_HEADER, "dalisay");
        let reply = request.header(HINT_HEADER, &hint).send().await.unwrap();
        assert_eq!(reply.status().as_u16(), 404, "{forged}");
    }
}

/// The engine stops running a request whose caller left: a stream because nobody
/// reads it, any other request because the router cancels it.
#[rstest]
#[case::stream(true, Duration::from_millis(50))]
#[case::whole(false, Duration::from_secs(3_600))]
#[tokio::test]
async fn engine_stops_when_caller_leaves(#[case] stream: bool, #[case] window: Duration) {
    let mut options = small();
    options.engine.resume_window = window;
    let fleet = start(options).await;
    let sent = tokio::spawn(chat_request(&fleet, 0, u32::MAX, stream).send());
    let running = |it: &Fleet| it.engines.iter().map(|it| it.load().running).sum::<usize>();
    fleet.wait_until(|it| running(it) == 1).await;
    if stream {
        drop(sent.await.unwrap());
    } else {
        sent.abort();
    }
    fleet.wait_until(|it| running(it) == 0).await;
}

/// Payload bytes of one event of the fast engine.
const EVENT_BYTES: usize = 16 * 1_024;

/// An engine that streams `count` large events as fast as they are read. The
/// counter holds the number of events written.
async fn start_flood_engine(count: u32) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let taken = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&taken);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let counter = Arc::clone(&counter);
            tokio::spawn(async move {
                let mut head = vec![0; 4_096];
                let length = stream.read(&mut head).await.unwrap();
                let head = String::from_utf8_lossy(&head[..length]).into_owned();
                if head.starts_with("GET /load") {
                    let _ = stream.write_all(http_answer("200 OK", "", "{}").as_bytes()).await;
                    return;
                }
                let id = head.lines().find_map(|it| it.strip_prefix("x-request-id: ")).unwrap();
                let _ = stream.write_all(stream_head().as_bytes()).await;
                for i in 0..count {
                    let filler = "x".repeat(EVENT_BYTES);
                    let data = json!({ "id": id, "filler": filler });
                    let event = chunk(&format!("id: {i}\ndata: {data}\n\n"));
                    if stream.write_all(event.as_bytes()).await.is_err() {
                        return;
                    }
                    counter.fetch_add(1, Ordering::SeqCst);
                }
                let end = chunk("data: [DONE]\n\n") + "0\r\n\r\n";
                let _ = stream.write_all(end.as_bytes()).await;
            });
        }
    });
    (addr, taken)
}

/// Waits until the engine can write no more events; returns their number.
async fn wait_until_stalled(taken: &AtomicU32) -> u32 {
    loop {
        let before = taken.load(Ordering::SeqCst);
        sleep(Duration::from_millis(200)).await;
        if before > 0 && taken.load(Ordering::SeqCst) == before {
            return before;
        }
    }
}

#[tokio::test]
async fn slow_reader_bounded_and_complete() {
    const EVENTS: u32 = 4_096;
    let fleet = start(FleetOptions { routers: 1, engines: 0, ..small() }).await;
    let (addr, taken) = start_flood_engine(EVENTS).await;
    register(&fleet, addr, Role::Engine, "assistant-llm").await;
    let reply = chat_request(&fleet, 0, 1, true).send().await.unwrap();
    assert!(wait_until_stalled(&taken).await < EVENTS);
    let mut events = reply.bytes_stream().eventsource();
    for i in 0..EVENTS {
        let event = events.next().await.unwrap().unwrap();
        assert_eq!(event.id, i.to_string());
        assert!(event.data.len() > EVENT_BYTES);
    }
    assert_eq!(events.next().await.unwrap().unwrap().data, "[DONE]");
}

#[tokio::test]
async fn stalled_reader_cut_off() {
    let mut options = FleetOptions { routers: 1, engines: 0, ..small() };
    options.settings.limits.send = Duration::from_millis(100);
    let fleet = start(options).await;
    let (addr, _taken) = start_flood_engine(u32::MAX).await;
    register(&fleet, addr, Role::Engine, "assistant-llm").await;
    let reply = chat_request(&fleet, 0, 1, true).send().await.unwrap();
    let id = header(&reply, REQUEST_HEADER);
    fleet.wait_until(|it| has_event(it, 512, &id)).await;
    drop(reply);
}

/// The retry budget limits the requests to a pool that fails every request.
#[tokio::test]
async fn retries_limited_when_all_fail() {
    const REQUESTS: usize = 300;
    let fleet = start(FleetOptions { routers: 1, engines: 0, services: 0, ..small() }).await;
    let mut servers = Vec::new();
    for _ in 0..4 {
        let server = ScriptedServer::start(|_| Action::Answer(http_answer("500 X", "", ""))).await;
        server.register(&fleet, Role::Service, "stockroom-app").await;
        servers.push(server);
    }
    let started = Instant::now();
    let url = format!("http://{}/v1/services/stockroom/stock/x", fleet.routers[0].address());
    for _ in 0..REQUESTS {
        let request = fleet.http.get(&url).header(ORGANISATION_HEADER, "dalisay");
        assert_eq!(request.send().await.unwrap().status().as_u16(), 502);
    }
    let reached: usize = servers.iter().map(ScriptedServer::count).sum();
    // The retry budget: one in ten requests, 20 saved, one a second.
    let allowed = REQUESTS / 10 + 20 + started.elapsed().as_secs() as usize + 1;
    println!("{REQUESTS} requests, {reached} reached a backend server");
    assert!(reached <= REQUESTS + allowed, "{reached}");
}

/// A retry goes neither to a server that already failed nor to a leaving one.
#[tokio::test]
async fn retry_uses_other_server() {
    let fleet = start(FleetOptions { engines: 3, ..small() }).await;
    let refusing = Faults { refuse: true, ..Faults::default() };
    fleet.engines[0].set_faults(refusing.clone());
    fleet.engines[1].set_faults(refusing);
    for chat in 0..12 {
        let request = chat_request(&fleet, 0, 2, false).headers(chat_header(chat));
        assert_eq!(request.send().await.unwrap().status().as_u16(), 200);
    }
    let events = fleet.routers[0].shared().events.since(0);
    let mut placed: HashMap<&str, Vec<&str>> = HashMap::new();
    for it in events.iter().filter(|it| it.code == 400) {
        placed.entry(&it.subject).or_default().push(&it.detail);
    }
    assert!(placed.values().any(|it| it.len() > 1));
    for servers in placed.values_mut() {
        let count = servers.len();
        servers.sort_unstable();
        servers.dedup();
        assert_eq!(servers.len(), count);
    }
}

/// A service instance that fails every request is ejected and gets only probes.
#[tokio::test]
async fn failing_server_ejected() {
    let fleet = start(FleetOptions { routers: 1, engines: 0, services: 0, ..small() }).await;
    let failing = ScriptedServer::start(|_| Action::Answer(http_answer("500 X", "", ""))).await;
    failing.register(&fleet, Role::Service, "stockroom-app").await;
    let mut good = Vec::new();
    for _ in 0..2 {
        let server =
            ScriptedServer::start(|_| Action::Answer(http_answer("200 OK", "", "fine"))).await;
        server.register(&fleet, Role::Service, "stockroom-app").await;
        good.push(server);
    }
    let url = format!("http://{}/v1/services/stockroom/stock/x", fleet.routers[0].address());
    let read = async |chat: usize| {
        let request = fleet.http.get(&url).header(ORGANISATION_HEADER, "dalisay");
        request.headers(chat_header(chat)).send().await.unwrap().status().as_u16()
    };
    let count = |code: u16| {
        let events = fleet.routers[0].shared().events.since(0);
        events.iter().filter(|it| it.code == code).count()
    };
    let mut chat = 0;
    while count(515) == 0 {
        assert_eq!(read(chat).await, 200);
        chat += 1;
    }
    let before = failing.count();
    for chat in chat..chat + 30 {
        assert_eq!(read(chat).await, 200);
    }
    assert_eq!(failing.count(), before + count(516));
}
