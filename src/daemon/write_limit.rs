//! A connection that fails when its peer reads nothing for too long.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// A connection with a timeout for each write.
#[derive(Debug)]
pub(crate) struct WriteLimit {
    stream: TcpStream,
    limit: Duration,
    /// Timer of a write that is pending.
    timer: Option<Pin<Box<Sleep>>>,
}

impl WriteLimit {
    /// Limits each write to `stream`.
    pub(crate) fn new(stream: TcpStream, limit: Duration) -> WriteLimit {
        WriteLimit { stream, limit, timer: None }
    }

    /// Returns the result of the write, or a timeout when it was pending for too long.
    fn watch<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.timer = None;
            return written;
        }
        let limit = self.limit;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for WriteLimit {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buf)
    }
}

impl AsyncWrite for WriteLimit {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, buf);
        self.watch(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, bufs);
        self.watch(context, written)
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
