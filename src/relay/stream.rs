//! Streams of events, passed on as they arrive.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, Either, StreamBody};
use hyper::Response;
use hyper::body::{Frame, Incoming};
use hyper::http::response::Parts;
use tokio::time::{Instant, timeout_at};

use crate::decide::Verdict;
use crate::relay::attempt_loop::Answer;
use crate::relay::body::Events;
use crate::relay::exchange::Reply;
use crate::relay::pending_request::PendingRequest;
use crate::relay::{AnswerHead, Connection, EventFramer, Outcome, Relay, RelayBody, RelayError};
use crate::rules::Route;
use crate::servers::InFlight;

/// Longest pauses in time after which a silent stream goes on elsewhere.
const STALL_FACTOR: u32 = 4;
/// Shortest such silence.
const LEAST_STALL: Duration = Duration::from_millis(1_000);
/// Longer than any deadline.
const FOREVER: Duration = Duration::from_secs(86_400);

/// A stream under way. Dropping it closes the connection to the backend
/// server, which then stops its work.
struct Pump {
    relay: Arc<Relay>,
    job: Box<PendingRequest>,
    body: Incoming,
    head: AnswerHead,
    connection: Option<Connection>,
    in_flight: InFlight,
    /// Present where the stream may be resumed: only whole events are passed on.
    frames: Option<EventFramer>,
    /// Silence after which a stream that may be resumed goes on elsewhere.
    stall: Duration,
}

/// The answer to the caller of a stream whose head is there.
pub(crate) fn relay_stream(
    relay: &Arc<Relay>,
    job: Box<PendingRequest>,
    reply: Reply,
    route: &Route,
) -> Response<RelayBody> {
    let Reply { parts, head, body, connection, in_flight } = reply;
    let stall = (route.max_pause * STALL_FACTOR).max(LEAST_STALL);
    let frames = route.resumable.then(|| EventFramer::after(job.last_event.clone()));
    let relay = Arc::clone(relay);
    let connection = Some(connection);
    let pump = Box::new(Pump { relay, job, body, head, connection, in_flight, frames, stall });
    let events = stream::try_unfold(pump, |mut pump| async move {
        let bytes = pump.next().await?;
        Ok(bytes.map(|it| (Frame::data(it), pump)))
    });
    respond(parts, Box::pin(events))
}

fn respond(parts: Parts, events: Events) -> Response<RelayBody> {
    Response::from_parts(parts, Either::Right(StreamBody::new(events)))
}

/// What comes next in a stream.
enum Next {
    Bytes(Bytes),
    End,
    Broken,
    /// Nothing for too long, though it may go on elsewhere.
    Stalled,
    TimedOut,
}

impl Pump {
    /// The next bytes for the caller; none at the end.
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
                    self.relay.pool.close_idle(self.in_flight.server());
                    self.in_flight.server().record_result(false, self.relay.clock.now());
                    if !self.may_resume() {
                        // It may still come: there is nothing better.
                        self.stall = FOREVER;
                    } else if !self.resume().await {
                        return self.cut("stalled");
                    }
                }
                Next::TimedOut => return self.cut("timed_out"),
                Next::Broken => {
                    self.in_flight.server().record_result(false, self.relay.clock.now());
                    self.relay.look_after(&self.job, self.in_flight.server());
                    if !self.may_resume() || !self.resume().await {
                        return self.cut("broken");
                    }
                }
            }
        }
    }

    async fn read(&mut self) -> Next {
        let deadline: Instant = self.job.deadline.into();
        let stalled = match self.frames {
            Some(_) => deadline.min(Instant::now() + self.stall),
            None => deadline,
        };
        let frame = timeout_at(stalled, self.body.frame()).await;
        let data = match frame {
            Err(_) if stalled < deadline => return Next::Stalled,
            Err(_) => return Next::TimedOut,
            Ok(None) if self.frames.as_ref().is_none_or(EventFramer::is_at_boundary) => {
                return Next::End;
            }
            Ok(None) | Ok(Some(Err(_))) => return Next::Broken,
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
        };
        match &mut self.frames {
            None => Next::Bytes(data),
            Some(frames) => frames.push(&data).map_or(Next::Broken, Next::Bytes),
        }
    }

    fn finish(&mut self) {
        self.relay.held(&mut self.job);
        self.job.trail.verdict = Verdict::Ran;
        self.job.trail.finish(Outcome::Done, "streamed");
        if let Some(connection) = self.connection.take() {
            let server = self.in_flight.server();
            let service = &self.job.trail.service;
            self.relay.keep(service, server, connection, self.head.keep_alive);
        }
    }

    fn cut(&mut self, reason: &str) -> Result<Option<Bytes>, RelayError> {
        self.connection = None;
        self.job.trail.finish(Outcome::Cut, reason);
        Err(RelayError)
    }

    /// Whether the stream may go on elsewhere; if so, that is paid for.
    fn may_resume(&mut self) -> bool {
        self.frames.is_some() && self.relay.may_resume(&mut self.job)
    }

    /// Goes on at another backend server; true when one took it.
    async fn resume(&mut self) -> bool {
        let Some(frames) = &mut self.frames else {
            return false;
        };
        // The first run ends with its connection.
        self.connection = None;
        frames.drop_partial();
        let last = frames.last().map(str::to_owned);
        self.job.resume(self.in_flight.server(), last.as_deref());
        match self.relay.run(&mut self.job).await {
            Ok(Answer::Stream(reply, _)) => {
                self.body = reply.body;
                self.head = reply.head;
                self.connection = Some(reply.connection);
                self.in_flight = reply.in_flight;
                true
            }
            _ => false,
        }
    }
}
