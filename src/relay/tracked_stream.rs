//! A caller's connection that knows whether all of its answers have been written.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Instant;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::clock::SharedClock;
use crate::relay::active_request::Activity;
use crate::relay::watched_stream::WatchedStream;

/// A connection that counts as an active request from its first write until all is flushed.
///
/// The HTTP library drops the body of an answer as soon as it has buffered all of it. What a slow
/// caller has not taken yet is unwritten then.
#[derive(Debug)]
pub(crate) struct TrackedStream {
    stream: WatchedStream,
    clock: SharedClock,
    total: Arc<AtomicU32>,
    activity: Arc<Activity>,
    /// Invariant: counted in `total` and noted in `activity` while this is set.
    is_unwritten: bool,
}

impl TrackedStream {
    /// Tracks `stream` in `total` and `activity`.
    pub fn new(
        stream: WatchedStream,
        clock: &SharedClock,
        total: &Arc<AtomicU32>,
        activity: &Arc<Activity>,
    ) -> TrackedStream {
        TrackedStream {
            stream,
            clock: Arc::clone(clock),
            total: Arc::clone(total),
            activity: Arc::clone(activity),
            is_unwritten: false,
        }
    }

    fn begin_write(&mut self, now: Instant) {
        if !self.is_unwritten {
            self.is_unwritten = true;
            self.total.fetch_add(1, Ordering::Relaxed);
            self.activity.begin_write(now);
        }
    }

    fn record_write(&self, result: &io::Result<usize>, now: Instant) {
        if let Ok(count) = result {
            self.activity.client.record_write(*count, now);
        }
    }

    fn end_write(&mut self) {
        if self.is_unwritten {
            self.is_unwritten = false;
            self.total.fetch_sub(1, Ordering::Relaxed);
            self.activity.end_write(self.clock.now());
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.activity.requests.load(Ordering::Relaxed) == 0 {
            // Who leaves answers unread gets no further request served.
            ready!(self.stream.poll_all_read(context))?;
        }
        let before = buffer.filled().len();
        let result = ready!(Pin::new(&mut self.stream).poll_read(context, buffer));
        let count = buffer.filled().len() - before;
        self.activity.client.record_read(count, self.clock.now());
        Poll::Ready(result)
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let now = self.clock.now();
        self.begin_write(now);
        let result = ready!(Pin::new(&mut self.stream).poll_write(context, bytes));
        self.record_write(&result, now);
        Poll::Ready(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let now = self.clock.now();
        self.begin_write(now);
        let result = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices));
        self.record_write(&result, now);
        Poll::Ready(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The HTTP library flushes once it has written all that it had buffered.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = ready!(Pin::new(&mut self.stream).poll_flush(context));
        self.end_write();
        Poll::Ready(result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl Drop for TrackedStream {
    fn drop(&mut self) {
        self.end_write();
    }
}
