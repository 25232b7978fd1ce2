//! Limits the bytes that a backend server may send before the head of its answer is complete.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::relay::watched_stream::WatchedStream;

/// Limit on the bytes up to the end of a head, interim responses included, which the HTTP
/// library reads without a limit. The first bytes of the body may be among them.
const MAX_HEAD_BYTES: usize = 1024 * 1024;
/// No head is awaited.
const UNLIMITED: usize = usize::MAX;

/// Bytes that may still arrive before the head is complete.
#[derive(Debug, Clone)]
pub(crate) struct HeadBudget(Arc<AtomicUsize>);

impl HeadBudget {
    /// A budget while no head is awaited.
    pub fn new() -> HeadBudget {
        HeadBudget(Arc::new(AtomicUsize::new(UNLIMITED)))
    }

    /// Limits what arrives from now on.
    pub fn begin(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Ends the limit, as the head is complete.
    pub fn end(&self) {
        self.0.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Whether all is spent.
    pub fn is_spent(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    fn spend(&self, count: usize) {
        let left = self.0.load(Ordering::Relaxed);
        if left != UNLIMITED {
            self.0.store(left.saturating_sub(count), Ordering::Relaxed);
        }
    }
}

/// A stream that fails once its budget for a head is spent.
#[derive(Debug)]
pub(crate) struct BudgetedStream {
    stream: WatchedStream,
    budget: HeadBudget,
}

impl BudgetedStream {
    /// Reads from `stream` within `budget`.
    pub fn new(stream: WatchedStream, budget: HeadBudget) -> BudgetedStream {
        BudgetedStream { stream, budget }
    }
}

impl AsyncRead for BudgetedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.budget.is_spent() {
            let error = io::Error::new(io::ErrorKind::InvalidData, "the head is too large");
            return Poll::Ready(Err(error));
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.budget.spend(buffer.filled().len() - before);
        result
    }
}

impl AsyncWrite for BudgetedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
