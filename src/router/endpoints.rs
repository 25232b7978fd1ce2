//! The requests that a router answers itself instead of relaying them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use prometheus::{Encoder, TextEncoder};
use rand::seq::IndexedRandom;
use slog::warn;
use tokio::time::timeout;

use crate::events::Code;
use crate::intake::{Client, Listener, ReadError, read_body};
use crate::peers::{
    EXCHANGE_PATH, Message, ORIGIN_PATH, ORIGINS_PATH, SERVERS_PATH, decode, encode, encode_with,
};
use crate::relay::{FORWARDED, RelayBody, Sender, full_body};
use crate::router::origin_search::reply_to_query;
use crate::router::origins::merge_origins;
use crate::router::{Router, Store};
use crate::wire::WireStreamOrigins;

/// Most addresses in one entry response.
const MAX_ADDRESSES: usize = 64;
/// Limit on the size of a message of another router.
const MAX_MESSAGE_BYTES: usize = 1024 * 1024;
/// Time in which a message of another router must arrive.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for memory for such a message.
const MEMORY_WAIT: Duration = Duration::from_secs(2);

/// Answers a readiness probe.
pub(crate) fn readiness<S: Store>(
    router: &Router<S>,
    request: &Request<Incoming>,
) -> Response<RelayBody> {
    let is_known = (router.protocol.is_ready_request)(request.uri());
    let status = match (is_known, router.relay.is_ready()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    response(status, Vec::new())
}

/// Answers with the addresses that a caller should use: those of all routers that are
/// ready as far as this one knows.
pub(crate) fn entry_addresses<S: Store>(
    router: &Router<S>,
    request: &Request<Incoming>,
) -> Response<RelayBody> {
    if !(router.protocol.is_entry_request)(request.uri()) {
        return response(StatusCode::NOT_FOUND, Vec::new());
    }
    let addresses = addresses(router);
    if addresses.is_empty() {
        return response(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
    }
    let body = (router.protocol.entry_body)(&addresses, router.settings.entry_ttl);
    let mut answer = response(StatusCode::OK, body);
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}

fn addresses<S: Store>(router: &Router<S>) -> Vec<SocketAddr> {
    let now = router.relay.clock().now();
    let peers = router.peers.lock().unwrap();
    let mut all: Vec<SocketAddr> = peers.ready(now).map(|it| it.callers).collect();
    if router.relay.is_ready() {
        all.push(router.settings.callers);
    }
    if all.len() > MAX_ADDRESSES {
        all = all.choose_multiple(&mut rand::rng(), MAX_ADDRESSES).copied().collect();
    }
    all
}

/// Whether a request to this router was sent on by another router.
pub(crate) fn is_forwarded(request: &Request<Incoming>) -> bool {
    request.headers().contains_key(FORWARDED)
}

/// Relays a request of a caller that another router sent on.
pub(crate) async fn relay_forwarded<S: Store>(
    router: &Router<S>,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    let is_closed = *router.closed.borrow();
    Arc::clone(&router.relay).handle(request, Sender::Router, is_closed).await
}

/// Answers a message of another router.
pub(crate) async fn receive_message<S: Store>(
    router: &Router<S>,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    let path = request.uri().path().to_owned();
    let body = match timeout(MESSAGE_TIMEOUT, read_message(router, request)).await {
        Ok(Ok(body)) => body,
        failed => {
            warn!(router.logger, "cannot receive the complete message of another router";
                "event" => Code::MessageUnreadable.number(), "error" => ?failed);
            return response(StatusCode::BAD_REQUEST, Vec::new());
        }
    };
    match path.as_str() {
        EXCHANGE_PATH => reply_to(router, Message::decode(&body), |message| {
            router.receive(message);
            router.message().encode()
        }),
        SERVERS_PATH => reply_to(router, decode(&body), |request| {
            let (servers, versions) = router.servers_since(&request);
            encode_with(&servers, &versions)
        }),
        ORIGINS_PATH => reply_to(router, decode(&body), |message: WireStreamOrigins| {
            merge_origins(router, &message.origins);
            Ok(Bytes::new())
        }),
        ORIGIN_PATH => {
            reply_to(router, decode(&body), |query| encode(&reply_to_query(router, &query)))
        }
        _ => response(StatusCode::NOT_FOUND, Vec::new()),
    }
}

async fn read_message<S: Store>(
    router: &Router<S>,
    mut request: Request<Incoming>,
) -> Result<Bytes, ReadError<hyper::Error>> {
    let client = request.extensions_mut().remove::<Arc<Client>>();
    let client = client.expect("each connection has a client");
    let now = router.relay.clock().now();
    let _sending = client.begin_body(now);
    let budget = client.intake.budget(Listener::Peers);
    let until = now + MEMORY_WAIT;
    read_body(request.into_body(), &client, budget, 0, MAX_MESSAGE_BYTES, until).await
}

fn reply_to<S, T>(
    router: &Router<S>,
    message: Result<T, rmp_serde::decode::Error>,
    reply: impl FnOnce(T) -> Result<Bytes, rmp_serde::encode::Error>,
) -> Response<RelayBody> {
    let message = match message {
        Ok(it) => it,
        Err(e) => {
            warn!(router.logger, "cannot decode the message of another router";
                "event" => Code::MessageUnreadable.number(), "error" => %e);
            return response(StatusCode::BAD_REQUEST, Vec::new());
        }
    };
    match reply(message) {
        Ok(bytes) => response(StatusCode::OK, bytes),
        Err(e) => {
            warn!(router.logger, "cannot encode the reply to another router";
                "event" => Code::MessageUnreadable.number(), "error" => %e);
            response(StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        }
    }
}

/// Answers with all metrics in the Prometheus text format.
pub(crate) fn metrics<S: Store>(router: &Router<S>) -> Response<RelayBody> {
    router.gauges.update(&router.relay, router.relay.clock().now());
    let mut text = Vec::new();
    match TextEncoder::new().encode(&router.registry.gather(), &mut text) {
        Ok(()) => response(StatusCode::OK, text),
        Err(e) => {
            warn!(router.logger, "cannot encode the metrics"; "error" => %e);
            response(StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        }
    }
}

fn response(status: StatusCode, body: impl Into<bytes::Bytes>) -> Response<RelayBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response
}
