//! One router without backend servers, and calls to it.

use filberttiller::demo::{Fleet, FleetOptions};
use filberttiller::filters::{CHAT_HEADER, ORGANISATION_HEADER, VERDICT_HEADER};
use reqwest::{Method, RequestBuilder, Response};
use serde_json::{Value, json};
use tokio::net::TcpSocket;

use crate::fake::{answer, chunk};
use crate::support::start;

pub(crate) const SERVICE: &str = "stockroom-app";
pub(crate) const ENGINES: &str = "assistant-llm";

/// One router without any backend server.
pub(crate) fn bare() -> FleetOptions {
    FleetOptions { routers: 1, engines: 0, canaries: 0, services: 0, ..FleetOptions::default() }
}

pub(crate) async fn bare_fleet() -> Fleet {
    start(bare()).await
}

pub(crate) fn call(fleet: &Fleet, method: Method, path: &str) -> RequestBuilder {
    let url = format!("http://{}{path}", fleet.routers[0].address());
    fleet.http.request(method, url).header(ORGANISATION_HEADER, "dalisay")
}

pub(crate) fn reserve(fleet: &Fleet) -> RequestBuilder {
    call(fleet, Method::POST, "/v1/services/stockroom/orders").body("{}")
}

pub(crate) fn ask(fleet: &Fleet, stream: bool) -> RequestBuilder {
    let body = json!({
        "model": "assistant", "stream": stream, "max_tokens": 2,
        "messages": [{ "role": "user", "content": "which reeds" }],
    });
    call(fleet, Method::POST, "/v1/chat/completions").header(CHAT_HEADER, "c").json(&body)
}

/// Status and verdict; a refusal tells the same verdict in head and body.
pub(crate) async fn outcome(request: RequestBuilder) -> (u16, String) {
    let reply = request.send().await.unwrap();
    let (status, verdict) = (reply.status(), verdict(&reply));
    let body = reply.bytes().await.unwrap();
    if !status.is_success() {
        let body: Value = serde_json::from_slice(&body).unwrap();
        assert_eq!(body["error"]["verdict"], verdict.as_str());
    }
    (status.as_u16(), verdict)
}

pub(crate) fn verdict(reply: &Response) -> String {
    reply.headers()[VERDICT_HEADER].to_str().unwrap().to_owned()
}

/// A socket that holds a port on which nobody listens.
pub(crate) fn closed_port() -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket
}

/// Asks the router's events how often the request ended.
pub(crate) fn final_events(fleet: &Fleet, request: &str) -> usize {
    let finals = [401, 500, 504, 505, 506, 507, 508, 509, 510, 511, 512];
    let events = fleet.routers[0].shared().events.since(0);
    let own = events.iter().filter(|it| it.subject == request);
    let refused = own.clone().filter(|it| it.code == 502 && it.detail.contains("run: "));
    own.filter(|it| finals.contains(&it.code)).count() + refused.count()
}

pub(crate) fn whole_chat(id: &str) -> String {
    let body = json!({ "id": id, "choices": [{ "index": 0 }], "usage": {} });
    answer("200 OK", "content-type: application/json\r\n", &body.to_string())
}

pub(crate) fn token(id: &str, index: u32) -> String {
    chunk(&format!("id: {index}\ndata: {{\"id\":\"{id}\"}}\n\n"))
}
