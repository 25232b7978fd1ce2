//! Lets a caller resume a stream at any router.

use std::sync::Arc;

use smallvec::SmallVec;
use warp::http::HeaderValue;
use warp::reply::Response;

use crate::decide::hash_bytes;
use crate::filters::cancel::Cancel;
use crate::filters::request_id::belongs;
use crate::filters::stream::{LAST_EVENT_HEADER, StreamSource, request_stream, stream_answer};
use crate::filters::suspect::CrashWatch;
use crate::filters::{CHAT_HEADER, Call, HINT_HEADER, Reason, Refusal, Shared};
use crate::fleet::{BackendServer, View};
use crate::keys::read_hint;

/// Answers `GET /v1/streams/{request}`: the events after `last-event-id`, from
/// the engine that the chat hint names.
pub(crate) async fn resume(shared: &Arc<Shared>, call: &Call) -> Result<Response, Refusal> {
    let request = call.path.strip_prefix("/v1/streams/").unwrap_or_default();
    if !belongs(&shared.settings.token, call.organisation.as_bytes(), request) {
        let message = "this organisation has no such stream";
        return Err(Refusal::not_run(Reason::UnknownTarget, message));
    }
    let Some(hint) = call.header(HINT_HEADER) else {
        let message =
            format!("header `{HINT_HEADER}` with the value of the first answer is missing");
        return Err(Refusal::not_run(Reason::BadRequest, message));
    };
    let next_index = next_index(call)?;
    let has_chat = call.headers.contains_key(CHAT_HEADER);
    let chat = if has_chat { call.chat } else { hash_bytes(request.as_bytes()) };
    let place = read_hint(&shared.keys, chat, hint);
    let Some(server) = place.and_then(|it| find_engine(&call.view, it)) else {
        let message = "the engine of this stream is gone or was restarted";
        return Err(Refusal::may_have_run(Reason::BackendFailed, message));
    };
    let source = StreamSource {
        request: request.to_owned(),
        arms: SmallVec::new(),
        address: server.address,
        began: call.began,
        deadline: call.deadline,
        next_index,
        crash_watch: CrashWatch::new(shared, None),
        _running_suspect: None,
    };
    let reply = request_stream(shared, &source)
        .await
        .map_err(|e| Refusal::may_have_run(Reason::BackendFailed, e))?;
    let cancel = Cancel::new(&shared.http, server.address, request);
    let mut answer = stream_answer(shared, reply, source, None, cancel);
    if let Ok(hint) = HeaderValue::from_str(hint) {
        answer.headers_mut().insert(HINT_HEADER, hint);
    }
    Ok(answer)
}

/// Index of the first event that the caller has not received.
fn next_index(call: &Call) -> Result<u64, Refusal> {
    let Some(last) = call.headers.get(LAST_EVENT_HEADER) else {
        return Ok(0);
    };
    let last = last.to_str().ok().and_then(|it| it.parse::<u32>().ok());
    last.map(|it| u64::from(it) + 1).ok_or_else(|| {
        let message =
            format!("header `{LAST_EVENT_HEADER}` must be the number of an event of the stream");
        Refusal::not_run(Reason::BadRequest, message)
    })
}

/// The engine with this id and incarnation, in any pool.
fn find_engine(view: &View, (id, incarnation): (u64, u64)) -> Option<&BackendServer> {
    view.pools.values().find_map(|pool| {
        let mut both = pool.engines.iter().zip(&pool.servers);
        let (_, server) = both.find(|(it, _)| it.id == id && it.incarnation == incarnation)?;
        Some(server)
    })
}
