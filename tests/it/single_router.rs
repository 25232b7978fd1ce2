//! A fleet of one router without backend servers, and requests to it.

use filberttiller::demo::{Fleet, FleetOptions};
use filberttiller::filters::{CHAT_HEADER, ORGANISATION_HEADER, VERDICT_HEADER};
use reqwest::{Method, RequestBuilder, Response};
use serde_json::{Value, json};
use tokio::net::TcpSocket;

use crate::scripted_server::{chunk, http_answer};
use crate::support::start;

pub(crate) const SERVICE_POOL: &str = "stockroom-app";
pub(crate) const ENGINE_POOL: &str = "assistant-llm";

/// One router without any backend server.
pub(crate) fn single_router() -> FleetOptions {
    FleetOptions { routers: 1, engines: 0, canaries: 0, services: 0, ..FleetOptions::default() }
}

pub(crate) async fn start_single_router() -> Fleet {
    start(single_router()).await
}

pub(crate) fn call(fleet: &Fleet, method: Method, path: &str) -> RequestBuilder {
    let url = format!("http://{}{path}", fleet.routers[0].address());
    fleet.http.request(method, url).header(ORGANISATION_HEADER, "dalisay")
}

pub(crate) fn order_request(fleet: &Fleet) -> RequestBuilder {
    call(fleet, Method::POST, "/v1/services/stockroom/orders").body("{}")
}

pub(crate) fn chat_request(fleet: &Fleet, stream: bool) -> RequestBuilder {
    let body = json!({
        "model": "assistant", "stream": stream, "max_tokens": 2,
        "messages": [{ "role": "user", "content": "which reeds" }],
    });
    call(fleet, Method::POST, "/v1/chat/completions").header(CHAT_HEADER, "c").json(&body)
}

/// Status and verdict. Checks that a refusal has the same verdict in head and body.
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

/// A socket bound to a port without a listener.
pub(crate) fn closed_port() -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket
}

/// Number of final events that the router recorded for the request.
pub(crate) fn final_events(fleet: &Fleet, request: &str) -> usize {
    let finals = [401, 500, 504, 505, 506, 507, 508, 509, 510, 511, 512];
    let events = fleet.routers[0].shared().events.since(0);
    let own = events.iter().filter(|it| it.subject == request);
    let refused = own.clone().filter(|it| it.code == 502 && it.detail.contains("run: "));
    own.filter(|it| finals.contains(&it.code)).count() + refused.count()
}

pub(crate) fn chat_answer(id: &str) -> String {
    let body = json!({ "id": id, "choices": [{ "index": 0 }], "usage": {} });
    http_answer("200 OK", "content-type: application/json\r\n", &body.to_string())
}

pub(crate) fn token_event(id: &str, index: u32) -> String {
    chunk(&format!("id: {index}\ndata: {{\"id\":\"{id}\"}}\n\n"))
}
