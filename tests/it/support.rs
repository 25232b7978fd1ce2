//! Fleets, requests and records shared by several tests.

use std::time::Duration;

use filberttiller::demo::{Fleet, FleetOptions};
use filberttiller::filters::CHAT_HEADER;
use filberttiller::servers::{ServerRecord, ServerState};
use filberttiller::wire::{GOSSIP_VERSION, Gossip, WireMember};
use reqwest::Response;
use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use serde_json::{Value, json};

/// Two routers and two engines.
pub(crate) fn small() -> FleetOptions {
    FleetOptions { routers: 2, engines: 2, canaries: 0, ..FleetOptions::default() }
}

/// Headers that set the chat of a request to number `chat`.
pub(crate) fn chat_header(chat: usize) -> HeaderMap {
    let name = HeaderName::from_static(CHAT_HEADER);
    HeaderMap::from_iter([(name, HeaderValue::from_str(&format!("c{chat}")).unwrap())])
}

/// A fleet with the first ticket in force.
pub(crate) async fn start(options: FleetOptions) -> Fleet {
    let fleet = Fleet::start(options).await.unwrap();
    fleet.publish_first_ticket().await.unwrap();
    fleet
}

/// The first record of a backend server.
pub(crate) fn server_record() -> ServerRecord {
    ServerRecord {
        service: "s".to_owned(),
        software: "v1".into(),
        address: "127.0.0.1:80".parse().unwrap(),
        domain: "a".to_owned(),
        slots: 4,
        state: ServerState::Ready,
        warm_up: Duration::ZERO,
        born: 1,
        sequence: 1,
    }
}

/// A conversation of one message.
pub(crate) fn question(text: &str) -> Vec<Value> {
    vec![json!({ "role": "user", "content": text })]
}

/// The value of a header of an answer, empty when it is missing.
pub(crate) fn header(reply: &Response, name: &str) -> String {
    reply.headers().get(name).map_or("", |it| it.to_str().unwrap()).to_owned()
}

/// A gossip message without content.
pub(crate) fn empty_message(from: WireMember) -> Gossip {
    Gossip {
        version: GOSSIP_VERSION,
        from,
        next: 0,
        chain: 0,
        log_age: None,
        marks: Vec::new(),
        marks_digest: None,
        mark_set: None,
        base_chain: None,
        records: Vec::new(),
        want: None,
        part: None,
        members: Vec::new(),
        crashes: Vec::new(),
        instances: Vec::new(),
        loads: Vec::new(),
        loaded_models: Vec::new(),
        loaded_digest: None,
    }
}
