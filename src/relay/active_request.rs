//! Requests whose answers are not complete.

use std::pin::Pin;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::clock::SharedClock;
use crate::relay::RelayBody;

/// What a connection has under way.
#[derive(Debug)]
pub(crate) struct Activity {
    /// Requests whose answers are not complete.
    pub requests: AtomicU32,
    /// When the last answer was complete, or the connection began.
    pub last: Mutex<Instant>,
}

impl Activity {
    /// A connection that has just begun.
    pub fn new(now: Instant) -> Activity {
        Activity { requests: AtomicU32::new(0), last: Mutex::new(now) }
    }

    /// Whether nothing is under way.
    pub fn is_quiet(&self) -> bool {
        self.requests.load(Ordering::Relaxed) == 0
    }
}

/// Counts a request until it is dropped with the body of its answer.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    clock: SharedClock,
    all: Arc<AtomicU32>,
    activity: Arc<Activity>,
}

impl ActiveRequest {
    /// A request begins.
    pub fn begin(
        clock: &SharedClock,
        all: &Arc<AtomicU32>,
        activity: &Arc<Activity>,
    ) -> ActiveRequest {
        all.fetch_add(1, Ordering::Relaxed);
        activity.requests.fetch_add(1, Ordering::Relaxed);
        ActiveRequest {
            clock: Arc::clone(clock),
            all: Arc::clone(all),
            activity: Arc::clone(activity),
        }
    }

    /// Ends with `body`.
    pub fn carry(self, body: RelayBody) -> TrackedBody {
        TrackedBody { body, _busy: self }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.all.fetch_sub(1, Ordering::Relaxed);
        self.activity.requests.fetch_sub(1, Ordering::Relaxed);
        *self.activity.last.lock().unwrap() = self.clock.now();
    }
}

/// A body that counts as under way until it is sent or dropped.
pub(crate) struct TrackedBody {
    body: RelayBody,
    _busy: ActiveRequest,
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
