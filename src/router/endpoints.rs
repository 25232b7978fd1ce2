//! The calls that a router answers itself.

use std::net::SocketAddr;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use prometheus::{Encoder, TextEncoder};
use rand::seq::IndexedRandom;
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::warn;

use crate::events::Code;
use crate::peers::{EXCHANGE_PATH, SERVERS_PATH, decode, encode};
use crate::relay::{RelayBody, full_body};
use crate::router::{Router, Store};

/// Addresses told to a caller at most.
const MOST_ADDRESSES: usize = 64;
/// Longest message of another router, in bytes.
const MAX_MESSAGE: usize = 1024 * 1024;

/// Whether the router is ready.
pub(crate) fn readiness<S: Store>(
    router: &Router<S>,
    asked: &Request<Incoming>,
) -> Response<RelayBody> {
    let known = (router.protocol.is_ready_request)(asked.uri());
    let status = match (known, router.relay.is_ready()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    plain(status, Vec::new())
}

/// Which addresses a caller should use: all routers believed ready.
pub(crate) fn entry_addresses<S: Store>(
    router: &Router<S>,
    asked: &Request<Incoming>,
) -> Response<RelayBody> {
    if !(router.protocol.is_entry_request)(asked.uri()) {
        return plain(StatusCode::NOT_FOUND, Vec::new());
    }
    let addresses = addresses(router);
    if addresses.is_empty() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
    }
    let body = (router.protocol.entry_body)(&addresses, router.settings.entry_ttl);
    let mut response = plain(StatusCode::OK, body);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn addresses<S: Store>(router: &Router<S>) -> Vec<SocketAddr> {
    let now = router.relay.clock().now();
    let peers = router.peers.lock().unwrap();
    let mut all: Vec<SocketAddr> = peers.ready(now).map(|it| it.callers).collect();
    if router.relay.is_ready() {
        all.push(router.settings.callers);
    }
    if all.len() > MOST_ADDRESSES {
        all = all.choose_multiple(&mut rand::rng(), MOST_ADDRESSES).copied().collect();
    }
    all
}

/// Takes a message of another router and answers it.
pub(crate) async fn receive_message<S: Store>(
    router: &Router<S>,
    asked: Request<Incoming>,
) -> Response<RelayBody> {
    let path = asked.uri().path().to_owned();
    let body = match Limited::new(asked.into_body(), MAX_MESSAGE).collect().await {
        Ok(it) => it.to_bytes(),
        Err(e) => {
            warn!(router.logger, "a message of a router broke off";
                "event" => Code::MessageUnreadable.number(), "error" => %e);
            return plain(StatusCode::BAD_REQUEST, Vec::new());
        }
    };
    match path.as_str() {
        EXCHANGE_PATH => take(router, &body, |message| {
            router.receive(message);
            router.message()
        }),
        SERVERS_PATH => take(router, &body, |ask| router.servers_since(&ask)),
        _ => plain(StatusCode::NOT_FOUND, Vec::new()),
    }
}

fn take<S, T: DeserializeOwned, A: Serialize>(
    router: &Router<S>,
    body: &[u8],
    answer: impl FnOnce(T) -> A,
) -> Response<RelayBody> {
    let message = match decode(body) {
        Ok(it) => it,
        Err(e) => {
            warn!(router.logger, "a message of a router cannot be read";
                "event" => Code::MessageUnreadable.number(), "error" => %e);
            return plain(StatusCode::BAD_REQUEST, Vec::new());
        }
    };
    match encode(&answer(message)) {
        Ok(own) => plain(StatusCode::OK, own),
        Err(e) => {
            warn!(router.logger, "a message cannot be written";
                "event" => Code::MessageUnreadable.number(), "error" => %e);
            plain(StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        }
    }
}

/// All metrics as text.
pub(crate) fn metrics<S: Store>(router: &Router<S>) -> Response<RelayBody> {
    let mut text = Vec::new();
    match TextEncoder::new().encode(&router.registry.gather(), &mut text) {
        Ok(()) => plain(StatusCode::OK, text),
        Err(e) => {
            warn!(router.logger, "metrics cannot be written"; "error" => %e);
            plain(StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        }
    }
}

fn plain(status: StatusCode, body: impl Into<bytes::Bytes>) -> Response<RelayBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response
}
