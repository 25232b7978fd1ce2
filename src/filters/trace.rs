//! Hybrid logical time on messages, and the first events of a request.

use reqwest::RequestBuilder;
use warp::http::{HeaderMap, HeaderValue};
use warp::reply::Response;

use crate::events::{Code, Fields};
use crate::filters::request_id::belongs;
use crate::filters::{Call, FORWARDED_HEADER, REQUEST_HEADER, Refusal, Shared, TIME_HEADER};
use crate::wire::EntryAnswer;

/// Key, in event details, of the id under which a forwarded call was first received.
pub(crate) const FIRST_ID_KEY: &str = "first";

/// Merges the time that a message carries into this router's clock.
pub(crate) fn observe_time(shared: &Shared, headers: &HeaderMap) {
    if let Some(text) = headers.get(TIME_HEADER).and_then(|it| it.to_str().ok()) {
        shared.events.observe(text);
    }
}

/// Adds this router's time to an answer.
pub(crate) fn stamp_time(shared: &Shared, reply: &mut Response) {
    if let Ok(time) = HeaderValue::from_str(&shared.events.time().to_string()) {
        reply.headers_mut().insert(TIME_HEADER, time);
    }
}

/// Adds this router's time to a request to another router.
pub(crate) fn with_time(shared: &Shared, call: RequestBuilder) -> RequestBuilder {
    call.header(TIME_HEADER, shared.events.time().to_string())
}

/// Filter that records the arrival of a request, once its chat is known.
pub(crate) fn record_received(shared: &Shared, call: &mut Call) -> Result<(), Refusal> {
    shared.counters.request_metrics.count_request(&call.organisation);
    let first =
        first_id(shared, call).map_or_else(String::new, |it| format!(" {FIRST_ID_KEY}={it}"));
    let detail = format!("chat={:016x}{first} organisation={}", call.chat, call.organisation);
    let fields = Fields { subject: &call.id, detail: &detail };
    shared.events.record(Code::RequestReceived, fields);
    Ok(())
}

/// Id under which the forwarding router received the call.
fn first_id<'a>(shared: &Shared, call: &'a Call) -> Option<&'a str> {
    let id = call.header(FORWARDED_HEADER).and_then(|_| call.header(REQUEST_HEADER))?;
    belongs(&shared.settings.token, call.organisation.as_bytes(), id).then_some(id)
}

/// Records which routers an entry answer lists.
pub(crate) fn record_entry_answer(shared: &Shared, call: &Call, chat: u64, answer: &EntryAnswer) {
    let routers: Vec<_> = answer.addresses.iter().map(|it| it.router.as_str()).collect();
    let detail = format!("chat={chat:016x} routers={}", routers.join(","));
    shared.events.record(Code::EntryAnswered, Fields { subject: &call.id, detail: &detail });
}
