//! HTTP API through which other routers exchange gossip.

use std::sync::Arc;

use bytes::Bytes;
use warp::http::{HeaderMap, StatusCode};
use warp::reply::Response;
use warp::{Filter, Reply};
use xtra::Address;

use crate::backend::head_bytes;
use crate::controllers::{IncomingExchange, Publisher};
use crate::daemon::control_api::reject_unauthorised;
use crate::filters::Shared;
use crate::fleet::Purpose;
use crate::wire::{pack_gossip, unpack_gossip};

/// Size limit of a message from a peer.
const MAX_MESSAGE_BYTES: u64 = 4 * 1024 * 1024;
/// Bytes of the request line and of the empty line after the headers.
const REQUEST_LINE_BYTES: usize = 27;
/// Bytes of the head of a response: status line, date, length, empty line.
const REPLY_HEAD_BYTES: usize = 17 + 37 + 21 + 2;
/// Budget balance in bytes below which peers are rejected with status 429. The body is
/// the number of milliseconds until the debt is paid off.
const MIN_BALANCE: f64 = -8_192.0;

/// `POST /v1/gossip`.
pub(crate) fn gossip_calls(
    shared: &Arc<Shared>,
    publisher: &Address<Publisher>,
) -> impl Filter<Extract = (Response,), Error = warp::Rejection> + Clone + Send + Sync + 'static + use<>
{
    let shared = Arc::clone(shared);
    let publisher = publisher.clone();
    warp::post()
        .and(warp::path!("v1" / "gossip"))
        .and(warp::header::headers_cloned())
        .and(warp::body::content_length_limit(MAX_MESSAGE_BYTES))
        .and(warp::body::bytes())
        .then(move |headers: HeaderMap, body: Bytes| {
            let shared = Arc::clone(&shared);
            let publisher = publisher.clone();
            async move { exchange(&shared, &publisher, &headers, &body).await }
        })
}

/// Charges both ways of the exchange to the budget, also when it rejects the peer.
async fn exchange(
    shared: &Shared,
    publisher: &Address<Publisher>,
    headers: &HeaderMap,
    body: &Bytes,
) -> Response {
    if let Some(refusal) = reject_unauthorised(shared, headers) {
        return refusal;
    }
    let received = REQUEST_LINE_BYTES + head_bytes(headers) + body.len();
    shared.meter.add(Purpose::Gossip, received);
    shared.budget.spend(Purpose::Gossip, received);
    let (status, reply) = if shared.budget.balance(Purpose::Gossip) < MIN_BALANCE {
        let pause = shared.budget.delay(Purpose::Gossip, 0.0).as_millis();
        (StatusCode::TOO_MANY_REQUESTS, pause.to_string().into_bytes())
    } else {
        match answer(publisher, body).await {
            Ok(it) => (StatusCode::OK, it),
            Err(it) => (it, Vec::new()),
        }
    };
    let sent = REPLY_HEAD_BYTES + reply.len();
    shared.meter.add(Purpose::Gossip, sent);
    shared.budget.spend(Purpose::Gossip, sent);
    let mut answer = warp::http::Response::new(Bytes::from(reply)).into_response();
    *answer.status_mut() = status;
    answer
}

/// Lets the publisher handle the message and packs its reply.
async fn answer(publisher: &Address<Publisher>, body: &Bytes) -> Result<Vec<u8>, StatusCode> {
    let message = unpack_gossip(body).map_err(|_| StatusCode::BAD_REQUEST)?;
    let reply = publisher.send(IncomingExchange { message }).await;
    let reply = reply.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    pack_gossip(&reply).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}
