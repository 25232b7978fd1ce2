//! Counts requests whose answers are not complete.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Either;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::Notify;

use crate::clock::SharedClock;
use crate::intake::Client;
use crate::relay::RelayBody;

/// Activity of one connection.
#[derive(Debug)]
pub(crate) struct Activity {
    /// Requests whose answers are not complete.
    pub requests: AtomicU32,
    /// Answers are not written to the caller.
    unwritten: AtomicBool,
    /// Notified when all is written.
    written: Notify,
    /// When the last answer was completed or written, or else the connection was accepted.
    pub last_active: Mutex<Instant>,
    /// What is held for the connection.
    pub client: Arc<Client>,
}

impl Activity {
    /// The activity of a new connection.
    pub fn new(client: Arc<Client>, now: Instant) -> Activity {
        Activity {
            requests: AtomicU32::new(0),
            unwritten: AtomicBool::new(false),
            written: Notify::new(),
            last_active: Mutex::new(now),
            client,
        }
    }

    /// Whether no request is in progress and all answers are written.
    pub fn is_idle(&self) -> bool {
        self.requests.load(Ordering::Relaxed) == 0 && !self.unwritten.load(Ordering::Relaxed)
    }

    /// Notes that answers are not written.
    pub fn begin_write(&self, now: Instant) {
        self.client.set_unwritten(true, now);
        self.unwritten.store(true, Ordering::Relaxed);
    }

    /// Notes that all answers are written.
    pub fn end_write(&self, now: Instant) {
        *self.last_active.lock().unwrap() = now;
        self.client.set_unwritten(false, now);
        self.unwritten.store(false, Ordering::Relaxed);
        self.written.notify_one();
    }

    /// Waits until all answers are written.
    pub async fn until_written(&self) {
        while self.unwritten.load(Ordering::Relaxed) {
            self.written.notified().await;
        }
    }
}

/// Counts a request until it is dropped with the body of its answer.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    clock: SharedClock,
    total: Arc<AtomicU32>,
    activity: Arc<Activity>,
}

impl ActiveRequest {
    /// Counts a request as active, in `total` and on its connection.
    pub fn begin(
        clock: &SharedClock,
        total: &Arc<AtomicU32>,
        activity: &Arc<Activity>,
    ) -> ActiveRequest {
        total.fetch_add(1, Ordering::Relaxed);
        activity.requests.fetch_add(1, Ordering::Relaxed);
        activity.client.begin_request();
        ActiveRequest {
            clock: Arc::clone(clock),
            total: Arc::clone(total),
            activity: Arc::clone(activity),
        }
    }

    /// Ties the request to `body`: it ends when the body is sent or dropped.
    pub fn track(self, body: RelayBody) -> TrackedBody {
        TrackedBody { body, request: self }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.total.fetch_sub(1, Ordering::Relaxed);
        self.activity.requests.fetch_sub(1, Ordering::Relaxed);
        let now = self.clock.now();
        *self.activity.last_active.lock().unwrap() = now;
        self.activity.client.end_request(now);
    }
}

/// A body whose request counts as active until the body is sent or dropped.
pub(crate) struct TrackedBody {
    body: RelayBody,
    request: ActiveRequest,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        // The bytes of a full answer are reserved where it is read.
        if let (Some(Ok(frame)), Either::Right(_)) = (&frame, &self.body) {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            self.request.activity.client.record_queued(bytes);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
