//! Hybrid logical time on messages, and the events that begin a request's story.

use warp::http::{HeaderMap, HeaderValue};
use warp::reply::Response;

use crate::events::{Code, Fields};
use crate::filters::{Call, Refusal, Shared, TIME_HEADER};
use crate::wire::EntryAnswer;

/// Takes over the time that came with a message.
pub(crate) fn observe(shared: &Shared, headers: &HeaderMap) {
    if let Some(text) = headers.get(TIME_HEADER).and_then(|it| it.to_str().ok()) {
        shared.events.observe(text);
    }
}

/// Adds the own time to an answer.
pub(crate) fn stamp(shared: &Shared, reply: &mut Response) {
    if let Ok(time) = HeaderValue::from_str(&shared.events.time().to_string()) {
        reply.headers_mut().insert(TIME_HEADER, time);
    }
}

/// Filter that records that a request arrived, once its chat is known.
pub(crate) fn received(shared: &Shared, call: &mut Call) -> Result<(), Refusal> {
    shared.counters.single.received(&call.organisation);
    let detail = format!("chat={:016x} organisation={}", call.chat, call.organisation);
    let fields = Fields { subject: &call.id, detail: &detail };
    shared.events.record(Code::RequestReceived, fields);
    Ok(())
}

/// Records which addresses a caller was told.
pub(crate) fn entry_answered(shared: &Shared, call: &Call, chat: u64, answer: &EntryAnswer) {
    let routers: Vec<_> = answer.addresses.iter().map(|it| it.router.as_str()).collect();
    let detail = format!("chat={chat:016x} routers={}", routers.join(","));
    shared.events.record(Code::EntryAnswered, Fields { subject: &call.id, detail: &detail });
}
