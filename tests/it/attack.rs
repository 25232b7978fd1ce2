//! Malformed and hostile requests, sent as raw bytes.

use std::net::SocketAddr;
use std::time::Duration;

use filberttiller::demo::{Fleet, FleetOptions};
use rstest::rstest;
use standins::list::Role;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::scripted_server::{Action, ScriptedServer, http_answer};

const POST_HEAD: &str = "POST /v1/services/stockroom/x HTTP/1.1\r\nhost: a\r\n";
const ORGANISATION: &str = "filberttiller-organisation: dalisay\r\n";

/// One router with small limits, and one service that answers every request.
async fn limited_router() -> (Fleet, ScriptedServer) {
    limited_router_with(Duration::from_millis(100)).await
}

/// The same with `receive` as the time limit for receiving a request.
async fn limited_router_with(receive: Duration) -> (Fleet, ScriptedServer) {
    let mut options = FleetOptions {
        routers: 1,
        engines: 0,
        canaries: 0,
        services: 0,
        ..FleetOptions::default()
    };
    options.settings.limits.receive = receive;
    options.settings.limits.body = "1KiB".parse().unwrap();
    options.settings.limits.head = "8KiB".parse().unwrap();
    options.settings.limits.address_connections = 8;
    let fleet = Fleet::start(options).await.unwrap();
    fleet.publish_first_ticket().await.unwrap();
    let server = ScriptedServer::start(|_| Action::Answer(http_answer("200 OK", "", "fine"))).await;
    server.register(&fleet, Role::Service, "stockroom-app").await;
    (fleet, server)
}

/// Sends bytes over a new connection and reads until the router closes it.
async fn send_raw(addr: SocketAddr, bytes: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let _ = stream.write_all(bytes.as_bytes()).await;
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text).await;
    String::from_utf8_lossy(&text).into_owned()
}

fn status(reply: &str) -> &str {
    reply.split(' ').nth(1).unwrap_or("none")
}

/// A request with these headers and this body; the router closes the connection
/// afterwards.
fn request(headers: &str, body: &str) -> String {
    format!("{POST_HEAD}{ORGANISATION}connection: close\r\n{headers}\r\n{body}")
}

#[rstest]
#[case::plain(request("content-length: 1\r\n", "x"), "200", 1)]
#[case::two_lengths(request("content-length: 1\r\ncontent-length: 2\r\n", "xy"), "400", 0)]
#[case::list_of_lengths(request("content-length: 1, 2\r\n", "xy"), "400", 0)]
#[case::negative_length(request("content-length: -1\r\n", "x"), "400", 0)]
#[case::bad_coding(request("transfer-encoding: chunked, identity\r\n", "0\r\n\r\n"), "400", 0)]
#[case::bad_chunk(request("transfer-encoding: chunked\r\n", "zz\r\nx\r\n0\r\n\r\n"), "400", 0)]
#[case::space_in_name(request("bad name: x\r\n", ""), "400", 0)]
#[case::folded(request("content-type: a\r\n b\r\n", ""), "400", 0)]
#[case::no_name(request(": x\r\n", ""), "400", 0)]
#[case::bare_newline(request("x: a\rb\r\n", ""), "400", 0)]
#[case::two_organisations(request(ORGANISATION, ""), "400", 0)]
#[case::two_keys(request("idempotency-key: a\r\nidempotency-key: b\r\n", ""), "400", 0)]
#[case::long_name(request(&format!("filberttiller-chat: {}\r\n", "x".repeat(300)), ""), "400", 0)]
#[case::wrong_deadline(request("filberttiller-deadline-ms: soon\r\n", ""), "400", 0)]
#[case::huge_deadline(request("filberttiller-deadline-ms: 99999999999999999999\r\n", ""), "400", 0)]
#[case::huge_head(request(&format!("x: {}\r\n", "x".repeat(9_000)), ""), "431", 0)]
#[case::many_headers(request(&"x: y\r\n".repeat(200), ""), "431", 0)]
#[case::huge_body(request("content-length: 2000\r\n", &"x".repeat(2_000)), "413", 0)]
#[case::cut_body(request("content-length: 10\r\n", "x"), "408", 0)]
#[case::no_http("\u{1}\u{2}\r\n\r\n".to_owned(), "400", 0)]
#[tokio::test]
async fn bad_request_refused(#[case] bytes: String, #[case] wanted: &str, #[case] reached: usize) {
    let (fleet, server) = limited_router().await;
    let reply = send_raw(fleet.routers[0].address(), &bytes).await;
    assert_eq!(status(&reply), wanted, "{reply}");
    assert_eq!(server.count(), reached);
    if reached == 0 && !reply.contains("content-length: 0") {
        assert!(reply.contains("filberttiller-verdict: not_run"), "{reply}");
    }
}

/// Request smuggling with both `content-length` and `transfer-encoding`: the service
/// receives at most one unambiguous request, and never the one hidden in its body.
#[tokio::test]
async fn smuggled_request_not_forwarded() {
    let (fleet, server) = limited_router().await;
    let hidden = "POST /v1/services/stockroom/hidden HTTP/1.1\r\nhost: a\r\n\r\n";
    let both = format!("content-length: {}\r\ntransfer-encoding: chunked\r\n", 5 + hidden.len());
    send_raw(fleet.routers[0].address(), &request(&both, &format!("0\r\n\r\n{hidden}"))).await;
    let received = server.received.lock().unwrap().clone();
    assert!(received.len() <= 1);
    for it in received {
        assert!(it.header("transfer-encoding").is_none() && it.body.is_empty());
        assert!(!it.line.contains("hidden"));
    }
}

#[tokio::test]
async fn unlisted_headers_dropped() {
    let (fleet, server) = limited_router().await;
    let headers = "content-length: 0\r\nte: trailers\r\nupgrade: h2c\r\nproxy-authorization: a\r\n\
        x-forwarded-for: 1.2.3.4\r\ncookie: a\r\ncontent-type: a/b\r\nx-request-id: mine\r\n";
    let reply = send_raw(fleet.routers[0].address(), &request(headers, "")).await;
    assert_eq!(status(&reply), "200");
    let received = server.received.lock().unwrap()[0].clone();
    for name in ["te", "upgrade", "proxy-authorization", "x-forwarded-for", "cookie"] {
        assert!(received.header(name).is_none(), "{name}");
    }
    assert_eq!(received.header("content-type"), Some("a/b"));
    assert_ne!(received.id(), "mine");
    assert!(!received.head.contains("dalisay"));
}

#[rstest]
#[case::dots("/a/../reservations")]
#[case::encoded_dots("/a/%2e%2E/reservations")]
#[case::one_dot("/./reservations")]
#[case::empty_segment("//reservations")]
#[case::encoded_slash("/a%2freservations")]
#[case::backslash("/a\\reservations")]
#[case::encoded_backslash("/a%5creservations")]
#[case::control("/a%00")]
#[case::newline("/a%0d%0ax:y")]
#[case::twice_encoded("/%2572eservations")]
#[case::no_text("/%ff%fe")]
#[tokio::test]
async fn ambiguous_path_refused(#[case] path: &str) {
    let (fleet, server) = limited_router().await;
    let line = format!("GET /v1/services/stockroom{path} HTTP/1.1\r\nhost: a\r\n");
    let bytes = format!("{line}{ORGANISATION}connection: close\r\n\r\n");
    let reply = send_raw(fleet.routers[0].address(), &bytes).await;
    let received: Vec<String> =
        server.received.lock().unwrap().iter().map(|it| it.head.clone()).collect();
    assert_eq!(
        (status(&reply), server.count()),
        ("400", 0),
        "{reply}, the service saw {received:?}"
    );
}

/// A path that a ticket lists as at-most-once stays so when a letter is encoded:
/// the call is not sent a second time.
#[tokio::test]
async fn encoded_path_sent_once() {
    let (fleet, _fake) = limited_router().await;
    for round in 0..2 {
        let failing = ScriptedServer::start(|_| Action::Close(String::new())).await;
        failing.register(&fleet, Role::Service, "stockroom-app").await;
        let mut chat = 0;
        while failing.count() == 0 {
            chat += 1;
            let line = "GET /v1/services/stockroom/%72eservations HTTP/1.1\r\nhost: a\r\n";
            let headers = format!(
                "{ORGANISATION}filberttiller-chat: {chat}\r\nidempotency-key: {round}-{chat}\r\nconnection: close\r\n"
            );
            let reply = send_raw(fleet.routers[0].address(), &format!("{line}{headers}\r\n")).await;
            let wanted = if failing.count() == 0 { "200" } else { "502" };
            assert_eq!(status(&reply), wanted, "{reply}");
        }
    }
}

/// Only the path of an absolute request target counts; its host is never contacted.
#[tokio::test]
async fn foreign_host_not_called() {
    let (fleet, server) = limited_router().await;
    let foreign =
        ScriptedServer::start(|_| Action::Answer(http_answer("200 OK", "", "foreign"))).await;
    let target = format!("http://{}/v1/services/stockroom/x", foreign.addr);
    let bytes =
        format!("GET {target} HTTP/1.1\r\nhost: a\r\n{ORGANISATION}connection: close\r\n\r\n");
    let reply = send_raw(fleet.routers[0].address(), &bytes).await;
    assert_eq!((foreign.count(), server.count()), (0, 1), "{reply}");
}

/// A caller that sends its head or body too slowly is disconnected.
#[rstest]
#[case::head("POST /v1/services/stockroom/x HTTP/1.1\r\nhost:", "none")]
#[case::nothing("", "none")]
#[case::body(
    "POST /v1/services/stockroom/x HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 9\r\n\r\nx",
    "408"
)]
#[tokio::test]
async fn slow_sender_disconnected(#[case] bytes: &str, #[case] wanted: &str) {
    let (fleet, server) = limited_router().await;
    let reply = send_raw(fleet.routers[0].address(), bytes).await;
    assert!([wanted, "408"].contains(&status(&reply)), "{reply}");
    assert_eq!(server.count(), 0);
}

/// One address cannot occupy all connections; it is served again after closing its own.
#[tokio::test]
async fn connections_limited() {
    let (fleet, _fake) = limited_router_with(Duration::from_secs(600)).await;
    let addr = fleet.routers[0].address();
    let request = request("content-length: 0\r\n", "");
    let mut open = Vec::new();
    for _ in 0..16 {
        open.push(TcpStream::connect(addr).await.unwrap());
    }
    assert_eq!(send_raw(addr, &request).await, "");
    drop(open);
    while status(&send_raw(addr, &request).await) != "200" {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
