//! Streamed answers: forwarded in order, or ended with an error event.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eventsource_stream::{Event, Eventsource};
use futures_util::{Stream, StreamExt, stream};
use smallvec::SmallVec;
use sync_wrapper::SyncStream;
use tokio::time::{sleep, timeout};
use warp::Reply;
use warp::http::{HeaderValue, StatusCode};
use warp::reply::Response;

use crate::backend::error_text;
use crate::decide::Verdict;
use crate::events::{Code, Fields};
use crate::filters::answer::mark;
use crate::filters::cancel::Cancel;
use crate::filters::final_event::{FinalEvent, StreamedAnswer};
use crate::filters::in_flight::InFlight;
use crate::filters::suspect::{CrashWatch, record_crash};
use crate::filters::{Arm, Reason, Refusal, Shared, sse};
use crate::fleet::RunningSuspect;
use crate::metrics::TokenTimer;
use crate::wire::ChatChunk;

/// Data of the last event of a complete stream.
const END_MARK: &str = "[DONE]";
/// Maximum number of resumptions without a new event in between.
const MAX_RESUMES: u32 = 3;
/// Message of a stream that did not end before its deadline.
const DEADLINE_PASSED: &str = "the deadline passed";
/// Pause after an engine refused to resume a stream.
const RESUME_PAUSE: Duration = Duration::from_millis(20);
/// Header with the id of the last event received.
pub(crate) const LAST_EVENT_HEADER: &str = "last-event-id";

type Incoming = Pin<Box<dyn Stream<Item = Result<Event, String>> + Send>>;

/// The engine and request that a stream comes from.
#[derive(Debug)]
pub(crate) struct StreamSource {
    /// Id of the request.
    pub(crate) request: String,
    /// Experiments that the request counts towards.
    pub(crate) arms: SmallVec<[Arm; 2]>,
    /// Address of the engine.
    pub(crate) address: SocketAddr,
    /// When the head of the request arrived.
    pub(crate) began: Instant,
    /// When the complete answer is due.
    pub(crate) deadline: Instant,
    /// Index of the next expected event.
    pub(crate) next_index: u64,
    /// Watches the engine while the stream runs.
    pub(crate) crash_watch: CrashWatch,
    /// Held until the stream ends, for a suspect request.
    pub(crate) _running_suspect: Option<Arc<RunningSuspect>>,
}

/// One stream in progress to the caller.
struct StreamRelay {
    shared: Arc<Shared>,
    incoming: Incoming,
    source: StreamSource,
    /// Whether an event arrived since the head of the stream.
    has_event: bool,
    resumes: u32,
    timer: TokenTimer,
    is_ended: bool,
    final_event: FinalEvent,
    cancel: Cancel,
    /// Counts as in flight until the stream is dropped.
    _work: Option<InFlight>,
}

/// Why a stream was interrupted.
enum Fault {
    /// The connection failed; the engine may still have the rest.
    Broken(String),
    /// The engine sent a wrong event, or none in time.
    Final(String),
    /// The deadline passed.
    Late,
}

/// Forwards the engine's stream. The verdict in the head is `may_have_run`, as the
/// outcome is not known yet; the end mark or the error event reports it.
pub(crate) fn stream_answer(
    shared: &Arc<Shared>,
    reply: reqwest::Response,
    source: StreamSource,
    work: Option<InFlight>,
    cancel: Cancel,
) -> Response {
    let request = source.request.clone();
    let relay = StreamRelay {
        shared: Arc::clone(shared),
        final_event: FinalEvent::new(shared, &source.request, "chat"),
        timer: TokenTimer::new(source.began, source.next_index > 0),
        incoming: events(reply, shared.settings.limits.answer.as_u64() as usize),
        source,
        has_event: false,
        resumes: 0,
        is_ended: false,
        cancel,
        _work: work,
    };
    let frames = stream::unfold(relay, |mut it| async move {
        if it.is_ended {
            return None;
        }
        let frame = it.frame().await;
        Some((Ok::<Bytes, Infallible>(frame), it))
    });
    let mut reply = warp::reply::stream(SyncStream::new(frames)).into_response();
    let headers = reply.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("text/event-stream"));
    headers.insert("cache-control", HeaderValue::from_static("no-cache"));
    reply.extensions_mut().insert(StreamedAnswer);
    mark(&mut reply, &request, Verdict::MayHaveRun);
    reply
}

/// The events of an answer; one event may have at most `max_bytes` bytes.
fn events(reply: reqwest::Response, max_bytes: usize) -> Incoming {
    let buffered = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&buffered);
    let pieces = reply.bytes_stream().map(move |piece| {
        let piece = piece.map_err(|e| error_text(&e))?;
        if counted.fetch_add(piece.len(), Ordering::Relaxed) + piece.len() > max_bytes {
            return Err(format!("an event is longer than {max_bytes} bytes"));
        }
        Ok(piece)
    });
    Box::pin(pieces.eventsource().map(move |event| {
        buffered.store(0, Ordering::Relaxed);
        event.map_err(|e| e.to_string())
    }))
}

impl StreamRelay {
    /// The next frame for the caller. A stream that cannot be resumed ends with an
    /// error event.
    async fn frame(&mut self) -> Bytes {
        loop {
            let fault = match self.event().await {
                Ok(event) if event.data == END_MARK => return self.end(),
                Ok(event) => match self.check(&event) {
                    Ok(()) => return sse::frame(&event.id, "", &event.data),
                    Err(fault) => Fault::Final(fault.to_owned()),
                },
                Err(fault) => fault,
            };
            match fault {
                Fault::Late => return self.cut(Reason::DeadlinePassed, DEADLINE_PASSED),
                Fault::Final(fault) => return self.cut(Reason::BackendFailed, &fault),
                Fault::Broken(fault) => match self.resume().await {
                    Ok(()) => {}
                    Err(why) => {
                        if let Some(candidate) = self.source.crash_watch.disarm() {
                            record_crash(&self.shared, &candidate).await;
                        }
                        if self.remaining().is_zero() {
                            return self.cut(Reason::DeadlinePassed, DEADLINE_PASSED);
                        }
                        return self.cut(Reason::BackendFailed, &format!("{fault}; {why}"));
                    }
                },
            }
        }
    }

    /// Time remaining until the deadline.
    fn remaining(&self) -> Duration {
        self.source.deadline.saturating_duration_since(self.shared.clock.now())
    }

    /// Waits for the next event until the deadline and, after the first event, for
    /// at most the idle timeout.
    async fn event(&mut self) -> Result<Event, Fault> {
        let remaining = self.remaining();
        let idle = self.shared.settings.traffic.idle;
        let wait = if self.has_event { remaining.min(idle) } else { remaining };
        let event = match timeout(wait, self.incoming.next()).await {
            Ok(Some(Ok(event))) => event,
            Ok(Some(Err(e))) => return Err(Fault::Broken(e)),
            Ok(None) => {
                let message = "the engine ended the stream before its end mark";
                return Err(Fault::Broken(message.to_owned()));
            }
            Err(_) if wait == remaining => {
                return Err(Fault::Late);
            }
            Err(_) => return Err(Fault::Final(format!("the engine was silent for {idle:?}"))),
        };
        self.has_event = true;
        Ok(event)
    }

    /// Checks that the event belongs to this request and is the next one.
    fn check(&mut self, event: &Event) -> Result<(), &'static str> {
        let chunk = ChatChunk::parse(event.data.as_bytes())
            .map_err(|_| "the engine sent a malformed event")?;
        if chunk.id != self.source.request.as_str() {
            return Err("the engine sent an event of another request");
        }
        if event.id.parse() != Ok(self.source.next_index) {
            return Err("the engine skipped or repeated part of the stream");
        }
        self.source.next_index += 1;
        self.resumes = 0;
        self.timer.record(&self.shared.counters.stream_metrics, self.shared.clock.now());
        if let Some(usage) = chunk.usage {
            self.shared.counters.count_usage(&self.source.arms, &usage);
        }
        Ok(())
    }

    /// Requests the rest of the stream from the same engine.
    async fn resume(&mut self) -> Result<(), String> {
        let reply = loop {
            if self.resumes >= MAX_RESUMES {
                return Err(format!("{MAX_RESUMES} resumptions brought no new event"));
            }
            self.resumes += 1;
            match request_stream(&self.shared, &self.source).await {
                Ok(reply) => break reply,
                Err(why) if self.resumes >= MAX_RESUMES => return Err(why),
                Err(_) => sleep(RESUME_PAUSE).await,
            }
        };
        self.incoming = events(reply, self.shared.settings.limits.answer.as_u64() as usize);
        self.has_event = false;
        let detail = format!("from event {}", self.source.next_index);
        let fields = Fields { subject: &self.source.request, detail: &detail };
        self.shared.events.record(Code::StreamResumed, fields);
        Ok(())
    }

    fn end(&mut self) -> Bytes {
        self.is_ended = true;
        self.source.crash_watch.disarm();
        self.cancel.disarm();
        self.final_event.done("stream");
        self.shared.counters.count_arms(&self.source.arms, Verdict::Ran);
        sse::frame("", "", END_MARK)
    }

    fn cut(&mut self, reason: Reason, fault: &str) -> Bytes {
        self.is_ended = true;
        self.source.crash_watch.disarm();
        self.final_event.cut(fault);
        self.shared.counters.count_arms(&self.source.arms, Verdict::MayHaveRun);
        let mut body = Refusal::may_have_run(reason, fault).body(&self.source.request);
        body.error.event = Code::StreamCut.number();
        let body = serde_json::to_string(&body).unwrap_or_default();
        sse::frame("", "error", &body)
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if !self.is_ended {
            self.shared.counters.count_arms(&self.source.arms, Verdict::MayHaveRun);
            // The caller left and may resume the stream. The engine stops by itself
            // when nobody reads within its resume window.
            self.cancel.disarm();
        }
    }
}

/// Requests the stream from the engine, from event `source.next_index` on.
pub(crate) async fn request_stream(
    shared: &Shared,
    source: &StreamSource,
) -> Result<reqwest::Response, String> {
    let remaining = source.deadline.saturating_duration_since(shared.clock.now());
    if remaining.is_zero() {
        return Err(DEADLINE_PASSED.to_owned());
    }
    let url = format!("http://{}/v1/streams/{}", source.address, source.request);
    let mut request = shared.http.get(url).timeout(remaining);
    if let Some(last) = source.next_index.checked_sub(1) {
        request = request.header(LAST_EVENT_HEADER, last);
    }
    let reply = request.send().await.map_err(|e| error_text(&e))?;
    match reply.status() {
        StatusCode::OK => Ok(reply),
        status => Err(format!("the engine answered {status} to the resume request")),
    }
}
