//! Counts requests whose answers are not complete.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::Notify;

use crate::clock::SharedClock;
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
}

impl Activity {
    /// The activity of a new connection.
    pub fn new(now: Instant) -> Activity {
        Activity {
            requests: AtomicU32::new(0),
            unwritten: AtomicBool::new(false),
            written: Notify::new(),
            last_active: Mutex::new(now),
        }
    }

    /// Whether no request is in progress and all answers are written.
    pub fn is_idle(&self) -> bool {
        self.requests.load(Ordering::Relaxed) == 0 && !self.unwritten.load(Ordering::Relaxed)
    }

    /// Notes that answers are not written.
    pub fn begin_write(&self) {
        self.unwritten.store(true, Ordering::Relaxed);
    }

    /// Notes that all answers are written.
    pub fn end_write(&self, now: Instant) {
        *self.last_active.lock().unwrap() = now;
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
        ActiveRequest {
            clock: Arc::clone(clock),
            total: Arc::clone(total),
            activity: Arc::clone(activity),
        }
    }

    /// Ties the request to `body`: it ends when the body is sent or dropped.
    pub fn track(self, body: RelayBody) -> TrackedBody {
        TrackedBody { body, _request: self }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.total.fetch_sub(1, Ordering::Relaxed);
        self.activity.requests.fetch_sub(1, Ordering::Relaxed);
        *self.activity.last_active.lock().unwrap() = self.clock.now();
    }
}

/// A body whose request counts as active until the body is sent or dropped.
pub(crate) struct TrackedBody {
    body: RelayBody,
    _request: ActiveRequest,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
