//! Counts requests whose answers are not complete.

use std::pin::Pin;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::clock::SharedClock;
use crate::relay::RelayBody;

/// Activity of one connection.
#[derive(Debug)]
pub(crate) struct Activity {
    /// Requests whose answers are not complete.
    pub requests: AtomicU32,
    /// When the last answer was completed, or else the connection was accepted.
    pub last_active: Mutex<Instant>,
}

impl Activity {
    /// The activity of a new connection.
    pub fn new(now: Instant) -> Activity {
        Activity { requests: AtomicU32::new(0), last_active: Mutex::new(now) }
    }

    /// Whether no request is in progress.
    pub fn is_idle(&self) -> bool {
        self.requests.load(Ordering::Relaxed) == 0
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
