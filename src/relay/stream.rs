//! Streams of events, relayed as they arrive.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, Either, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use hyper::http::response::Parts;
use tokio::time::{Instant, timeout_at};

use crate::decide::{RunProgress, Verdict};
use crate::relay::answer_body::AnswerBody;
use crate::relay::attempt_loop::Answer;
use crate::relay::body::Events;
use crate::relay::exchange::Reply;
use crate::relay::pending_request::PendingRequest;
use crate::relay::{
    AnswerHead, BodyEnd, Connection, EventFramer, Framing, Outcome, Refusal, Relay, RelayBody,
    RelayError,
};
use crate::rules::Route;
use crate::servers::{InFlight, Server};

/// A silent stream counts as stalled after this many times its route's `max_pause`.
const STALL_FACTOR: u32 = 4;
/// Shortest silence that counts as a stall.
const MIN_STALL: Duration = Duration::from_millis(1_000);
/// Longer than any deadline.
const FOREVER: Duration = Duration::from_secs(86_400);

/// A stream in progress. Dropping it closes the connection to the backend
/// server, which then stops its work.
struct StreamRelay {
    relay: Arc<Relay>,
    pending: Box<PendingRequest>,
    body: AnswerBody,
    head: AnswerHead,
    connection: Option<Connection>,
    /// Absent where another router sends to the server.
    in_flight: Option<InFlight>,
    framing: Framing,
    /// When the answer of the current server began.
    began: std::time::Instant,
    /// Only complete events are relayed, so that a broken stream ends after one.
    events: EventFramer,
    /// The stream may be resumed at another server.
    resumable: bool,
    /// Wait for an event after which a stream that may be resumed counts as stalled.
    stall: Duration,
    /// How long it was waited for the next event so far. Bytes that complete no event do not
    /// reset it.
    waited: Duration,
}

/// The answer to the caller, for a stream whose head has arrived.
pub(crate) fn relay_stream(
    relay: &Arc<Relay>,
    pending: Box<PendingRequest>,
    reply: Reply,
    route: &Route,
) -> Response<RelayBody> {
    let Reply { parts, head, framing, body, connection, in_flight } = reply;
    let stall = (route.max_pause * STALL_FACTOR).max(MIN_STALL);
    let events = EventFramer::after(pending.last_event.clone());
    let relay = Arc::clone(relay);
    let connection = Some(connection);
    let began = relay.clock.now();
    let state = Box::new(StreamRelay {
        relay,
        pending,
        body,
        head,
        connection,
        in_flight,
        framing,
        began,
        events,
        resumable: route.resumable,
        stall,
        waited: Duration::ZERO,
    });
    let events = stream::try_unfold(state, |mut state| async move {
        let bytes = state.next().await?;
        Ok(bytes.map(|it| (Frame::data(it), state)))
    });
    respond(parts, Box::pin(events))
}

fn respond(parts: Parts, events: Events) -> Response<RelayBody> {
    Response::from_parts(parts, Either::Right(StreamBody::new(events)))
}

/// The result of one read from a stream.
enum Next {
    Bytes(Bytes),
    End,
    Broken,
    /// Silent for too long, on a stream that may resume at another server.
    Stalled,
    TimedOut,
}

impl StreamRelay {
    /// The next bytes for the caller; `None` at the end.
    async fn next(&mut self) -> Result<Option<Bytes>, RelayError> {
        loop {
            match self.read().await {
                Next::Bytes(bytes) if bytes.is_empty() => {}
                Next::Bytes(bytes) => return Ok(Some(bytes)),
                Next::End => {
                    self.finish();
                    return Ok(None);
                }
                Next::Stalled => {
                    if let Some(server) = self.server() {
                        self.relay.pool.close_idle(server);
                        server.record_result(false, self.relay.clock.now());
                    }
                    if !self.may_resume() {
                        // No retry is allowed, so wait for this server until the deadline.
                        self.stall = FOREVER;
                    } else if let Some(next) = self.resume_beside().await {
                        match next {
                            Next::Bytes(bytes) => return Ok(Some(bytes)),
                            Next::End => {
                                self.finish();
                                return Ok(None);
                            }
                            _ => {
                                self.record_break();
                                return self.cut("broken");
                            }
                        }
                    }
                }
                Next::TimedOut => return self.cut("timed_out"),
                Next::Broken => {
                    self.record_break();
                    if !self.may_resume() || !self.resume().await {
                        return self.cut("broken");
                    }
                }
            }
        }
    }

    /// The server, where this router sends to it itself.
    fn server(&self) -> Option<&Arc<Server>> {
        server_of(&self.in_flight)
    }

    /// Counts the break of the answer against its server.
    fn record_break(&self) {
        if let Some(server) = self.server() {
            server.record_result(false, self.relay.clock.now());
            self.relay.check_for_crash(&self.pending, server, self.progress());
        }
    }

    fn progress(&self) -> RunProgress {
        let age = self.relay.clock.now().saturating_duration_since(self.began);
        RunProgress::of_answer(age, self.events.has_event())
    }

    async fn read(&mut self) -> Next {
        let deadline: Instant = self.pending.deadline.into();
        // Another router notices a stall itself.
        let began = Instant::now();
        let read_until = match self.resumable && self.in_flight.is_some() {
            true => deadline.min(began + self.stall.saturating_sub(self.waited)),
            false => deadline,
        };
        let read = timeout_at(read_until, self.body.frame()).await;
        self.waited += began.elapsed();
        match read {
            Err(_) if read_until < deadline => Next::Stalled,
            Err(_) => Next::TimedOut,
            Ok(None) => self.end(BodyEnd::of_events(self.framing, &self.events)),
            Ok(Some(Err(e))) => self.end(BodyEnd::of_error(&e)),
            Ok(Some(Ok(frame))) => self.take(frame.into_data().unwrap_or_default()),
        }
    }

    fn take(&mut self, bytes: Bytes) -> Next {
        let events = self.events.push(bytes);
        self.take_events(events)
    }

    /// Takes the events that are complete; `None` if the stream is malformed.
    fn take_events(&mut self, events: Option<Bytes>) -> Next {
        match events {
            Some(events) if events.is_empty() => Next::Bytes(events),
            Some(events) => {
                self.waited = Duration::ZERO;
                if let Some(server) = server_of(&self.in_flight) {
                    self.pending.trace.record_software(&server.software);
                    if self.resumable {
                        self.relay.record_origin(&mut self.pending, &server.software);
                    }
                }
                Next::Bytes(events)
            }
            None => self.end(BodyEnd::Failed),
        }
    }

    /// Records how the body ended.
    fn end(&mut self, end: BodyEnd) -> Next {
        self.pending.trace.body_end = Some(end);
        match end {
            BodyEnd::Complete => Next::End,
            _ => Next::Broken,
        }
    }

    fn finish(&mut self) {
        self.pending.trace.last_event = self.events.last_id().map(str::to_owned);
        self.relay.record_service_time(&mut self.pending);
        self.relay.record_answered_parts(&self.pending);
        if self.pending.is_origin_recorded {
            self.relay.origins.lock().unwrap().end(self.pending.stream_hash());
        }
        self.pending.trace.verdict = Verdict::Ran;
        self.pending.trace.finish(Outcome::Done, "streamed");
        let connection = self.connection.take();
        if let Some((connection, server)) = connection.zip(self.server()) {
            let service = &self.pending.trace.service;
            self.relay.pool_connection(service, server, connection, self.head.keep_alive);
        }
    }

    fn cut(&mut self, reason: &str) -> Result<Option<Bytes>, RelayError> {
        self.connection = None;
        self.pending.trace.last_event = self.events.last_id().map(str::to_owned);
        self.pending.trace.finish(Outcome::Cut, reason);
        Err(RelayError)
    }

    /// Whether the stream may resume at another server; if so, spends a retry.
    fn may_resume(&mut self) -> bool {
        let server = server_of(&self.in_flight).map(Arc::as_ref);
        self.resumable && self.relay.may_resume(&mut self.pending, server)
    }

    /// Resumes the stream at another backend server; false when none took it.
    async fn resume(&mut self) -> bool {
        // Closing the connection ends the first run.
        self.connection = None;
        self.pending.trace.body_end = None;
        self.prepare_resume();
        match self.relay.run_attempts(&mut self.pending).await {
            Ok(Answer::Stream(reply, _)) => {
                self.go_on_with(*reply);
                true
            }
            _ => false,
        }
    }

    /// Tries to resume the stream at another backend server while the current one is silent. That
    /// one goes on with it if it sends an event or the end meanwhile, which is returned, or if no
    /// other takes the stream.
    async fn resume_beside(&mut self) -> Option<Next> {
        self.prepare_resume();
        match self.race_resume().await {
            Raced::Taken(reply) => {
                self.go_on_with(*reply);
                None
            }
            Raced::Refused => {
                self.waited = Duration::ZERO;
                None
            }
            Raced::Events(events) => Some(self.take_events(events)),
            Raced::End(end) => Some(self.end(end)),
        }
    }

    async fn race_resume(&mut self) -> Raced {
        let StreamRelay { relay, pending, body, events, framing, .. } = self;
        let mut attempts = pin!(relay.run_attempts(pending));
        let end = tokio::select! {
            result = &mut attempts => return Raced::of_attempts(result),
            sent = next_events(body, events, *framing) => match sent {
                Raced::End(end) if end != BodyEnd::Complete => end,
                sent => return sent,
            },
        };
        match Raced::of_attempts(attempts.await) {
            Raced::Refused => Raced::End(end),
            raced => raced,
        }
    }

    fn prepare_resume(&mut self) {
        let last = self.events.last_id().map(str::to_owned);
        let server = server_of(&self.in_flight).map(Arc::as_ref);
        self.pending.prepare_resume(server, last.as_deref());
    }

    /// Goes on with the answer of another server. Dropping the former connection ends its run.
    fn go_on_with(&mut self, reply: Reply) {
        self.events.resume();
        self.pending.trace.resumed += 1;
        self.body = reply.body;
        self.head = reply.head;
        self.framing = reply.framing;
        self.began = self.relay.clock.now();
        self.waited = Duration::ZERO;
        self.connection = Some(reply.connection);
        self.in_flight = reply.in_flight;
    }
}

/// What came of a stream whose server was silent, while another one was tried.
enum Raced {
    /// Another server goes on with it.
    Taken(Box<Reply>),
    /// No other server took it.
    Refused,
    /// The silent server sent complete events; `None` if they are malformed.
    Events(Option<Bytes>),
    /// The answer of the silent server ended.
    End(BodyEnd),
}

impl Raced {
    fn of_attempts(result: Result<Answer, Refusal>) -> Raced {
        match result {
            Ok(Answer::Stream(reply, _)) => Raced::Taken(reply),
            _ => Raced::Refused,
        }
    }
}

/// Waits for the next complete events of an answer, or its end.
async fn next_events(body: &mut AnswerBody, events: &mut EventFramer, framing: Framing) -> Raced {
    loop {
        let bytes = match body.frame().await {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(e)) => return Raced::End(BodyEnd::of_error(&e)),
            None => return Raced::End(BodyEnd::of_events(framing, events)),
        };
        let complete = events.push(bytes);
        if !complete.as_ref().is_some_and(Bytes::is_empty) {
            return Raced::Events(complete);
        }
    }
}

/// The server of a request in flight. Borrows no more of a stream than this.
fn server_of(in_flight: &Option<InFlight>) -> Option<&Arc<Server>> {
    in_flight.as_ref().map(InFlight::server)
}
