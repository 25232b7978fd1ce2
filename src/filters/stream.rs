//! Streamed answers: passed on in order, or visibly ended.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures_util::{Stream, StreamExt, stream};
use serde_json::Value;
use smallvec::SmallVec;
use sync_wrapper::SyncStream;
use warp::Reply;
use warp::http::HeaderValue;
use warp::reply::Response;

use crate::events::{Code, Fields};
use crate::filters::in_flight::InFlight;
use crate::filters::{Arm, Call, Reason, Refusal, Shared, sse};

/// Data of the last event of a whole stream.
const END_MARK: &str = "[DONE]";

type Incoming = Pin<Box<dyn Stream<Item = Result<Event, EventStreamError<reqwest::Error>>> + Send>>;

/// One stream on its way to the caller.
struct Relay {
    shared: Arc<Shared>,
    request: String,
    arms: SmallVec<[Arm; 2]>,
    incoming: Incoming,
    /// Index of the token that must come next.
    next: u64,
    over: bool,
    /// Counted as sent until the stream is gone.
    _work: InFlight,
}

/// Passes the engine's stream on.
pub(crate) fn stream_answer(
    shared: &Arc<Shared>,
    call: &Call,
    reply: reqwest::Response,
    work: InFlight,
) -> Response {
    let relay = Relay {
        shared: Arc::clone(shared),
        request: call.id.clone(),
        arms: call.arms.clone(),
        incoming: Box::pin(reply.bytes_stream().eventsource()),
        next: 0,
        over: false,
        _work: work,
    };
    let frames = stream::unfold(relay, |mut it| async move {
        if it.over {
            return None;
        }
        let frame = it.frame().await;
        Some((Ok::<Bytes, Infallible>(frame), it))
    });
    let mut reply = warp::reply::stream(SyncStream::new(frames)).into_response();
    let headers = reply.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("text/event-stream"));
    headers.insert("cache-control", HeaderValue::from_static("no-cache"));
    reply
}

impl Relay {
    /// The next frame for the caller; any irregularity ends the stream with an error.
    async fn frame(&mut self) -> Bytes {
        let event = match self.incoming.next().await {
            Some(Ok(event)) => event,
            Some(Err(e)) => return self.cut(&e.to_string()),
            None => return self.cut("the engine ended the stream before its end mark"),
        };
        if event.data == END_MARK {
            self.over = true;
            let subject = &self.request;
            self.shared.events.record(Code::RequestDone, Fields { subject, detail: "stream" });
            return sse::frame("", "", END_MARK);
        }
        match self.check(&event) {
            Ok(()) => sse::frame(&event.id, "", &event.data),
            Err(fault) => self.cut(fault),
        }
    }

    /// Whether the event belongs to this request and comes in order.
    fn check(&mut self, event: &Event) -> Result<(), &'static str> {
        let data: Value =
            serde_json::from_str(&event.data).map_err(|_| "the engine sent a broken event")?;
        if data["id"] != self.request.as_str() {
            return Err("the engine streamed another request");
        }
        if event.id.parse() != Ok(self.next) {
            return Err("the engine left out or repeated part of the stream");
        }
        self.next += 1;
        if let Some(usage) = data.get("usage") {
            self.shared.counters.count_usage(&self.arms, usage);
        }
        Ok(())
    }

    fn cut(&mut self, fault: &str) -> Bytes {
        self.over = true;
        let fields = Fields { subject: &self.request, detail: fault };
        self.shared.events.record(Code::StreamCut, fields);
        let refusal = Refusal::may_have_run(Reason::BackendFailed, fault);
        let body = serde_json::to_string(&refusal.body(&self.request)).unwrap_or_default();
        sse::frame("", "error", &body)
    }
}
