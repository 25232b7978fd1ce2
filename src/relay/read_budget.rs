//! Limits the bytes that a backend server may send without giving a part of an answer.

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
/// Limit on the bytes between two parts of a body: sizes of chunks, which the HTTP library reads
/// without a limit, and what it reads ahead.
const MAX_FRAMING_BYTES: usize = 4 * 1024 * 1024;

/// Bytes that may still arrive before the next part of an answer.
#[derive(Debug, Clone)]
pub(crate) struct ReadBudget(Arc<AtomicUsize>);

impl ReadBudget {
    /// The budget of a new connection.
    pub fn new() -> ReadBudget {
        ReadBudget(Arc::new(AtomicUsize::new(MAX_HEAD_BYTES)))
    }

    /// Limits what arrives from now on, before a head is complete.
    pub fn begin_head(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Limits what arrives from now on, before the next part of a body.
    pub fn begin_part(&self) {
        self.0.store(MAX_FRAMING_BYTES, Ordering::Relaxed);
    }

    /// Whether all is spent.
    pub fn is_spent(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    fn spend(&self, count: usize) {
        let left = self.0.load(Ordering::Relaxed);
        self.0.store(left.saturating_sub(count), Ordering::Relaxed);
    }
}

/// A stream that fails once its budget is spent.
#[derive(Debug)]
pub(crate) struct BudgetedStream {
    stream: WatchedStream,
    budget: ReadBudget,
}

impl BudgetedStream {
    /// Reads from `stream` within `budget`.
    pub fn new(stream: WatchedStream, budget: ReadBudget) -> BudgetedStream {
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
            let error = io::Error::new(
                io::ErrorKind::InvalidData,
                "no part of an answer in too many bytes",
            );
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
