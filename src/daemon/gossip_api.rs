//! The call by which other routers exchange gossip.

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

/// Largest message taken from a peer, in bytes.
const MAX_MESSAGE: u64 = 4 * 1024 * 1024;
/// Bytes of the request line and the empty line.
const REQUEST_BYTES: usize = 27;
/// Bytes of the head of an answer: status line, date, length, empty line.
const REPLY_BYTES: usize = 17 + 37 + 21 + 2;
/// Debt in bytes beyond which peers are turned away, with the milliseconds until it
/// is paid.
const MAX_DEBT: f64 = -8_192.0;

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
        .and(warp::body::content_length_limit(MAX_MESSAGE))
        .and(warp::body::bytes())
        .then(move |headers: HeaderMap, body: Bytes| {
            let shared = Arc::clone(&shared);
            let publisher = publisher.clone();
            async move { exchange(&shared, &publisher, &headers, &body).await }
        })
}

async fn exchange(
    shared: &Shared,
    publisher: &Address<Publisher>,
    headers: &HeaderMap,
    body: &Bytes,
) -> Response {
    if let Some(refusal) = reject_unauthorised(shared, headers) {
        return refusal;
    }
    let received = REQUEST_BYTES + head_bytes(headers) + body.len();
    shared.meter.add(Purpose::Gossip, received);
    shared.budget.spend(Purpose::Gossip, received);
    let (status, reply) = if shared.budget.balance(Purpose::Gossip) < MAX_DEBT {
        let pause = shared.budget.delay(Purpose::Gossip, 0.0).as_millis();
        (StatusCode::TOO_MANY_REQUESTS, pause.to_string().into_bytes())
    } else {
        match answer(publisher, body).await {
            Ok(it) => (StatusCode::OK, it),
            Err(it) => (it, Vec::new()),
        }
    };
    let sent = REPLY_BYTES + reply.len();
    shared.meter.add(Purpose::Gossip, sent);
    shared.budget.spend(Purpose::Gossip, sent);
    let mut answer = warp::http::Response::new(Bytes::from(reply)).into_response();
    *answer.status_mut() = status;
    answer
}

async fn answer(publisher: &Address<Publisher>, body: &Bytes) -> Result<Vec<u8>, StatusCode> {
    let message = unpack_gossip(body).map_err(|_| StatusCode::BAD_REQUEST)?;
    let reply = publisher.send(IncomingExchange { message }).await;
    let reply = reply.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    pack_gossip(&reply).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}
