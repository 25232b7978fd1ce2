//! A TCP connection that fails once its peer is gone.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::decide::{AckWatch, PeerState};
use crate::relay::tcp_info::read_send_state;

/// Pause between two looks at a connection with bytes that are not acknowledged.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time within which the peer must acknowledge sent data, and read, where the kernel does not tell
/// these apart.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the kernel goes on to deliver to a peer that reads nothing, once the connection is closed.
const CLOSED_TIMEOUT: Duration = Duration::from_secs(60);

/// A connection whose reads and writes fail once its peer acknowledges nothing any more.
///
/// `TCP_USER_TIMEOUT` alone would also end connections to peers that acknowledge all and read slowly.
#[derive(Debug)]
pub(crate) struct WatchedStream {
    stream: TcpStream,
    /// The kernel tells what the peer acknowledges.
    is_supported: bool,
    /// Present from a write until all is acknowledged.
    watch: Option<AckWatch>,
    /// At the last look the peer had not read all that was written.
    has_unread: bool,
    /// The next look. Made by the first write.
    timer: Option<Pin<Box<Sleep>>>,
}

impl WatchedStream {
    /// Sets the options of a socket that carries requests, and watches its peer. Errors are ignored:
    /// an option that cannot be set costs speed only.
    pub fn new(stream: TcpStream) -> WatchedStream {
        let _ = stream.set_nodelay(true);
        let is_supported = read_send_state(&stream).is_ok();
        if !is_supported {
            let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
        }
        WatchedStream { stream, is_supported, watch: None, has_unread: false, timer: None }
    }

    fn begin_watch(&mut self) {
        if self.is_supported && self.watch.is_none() {
            let now = Instant::now();
            self.watch = Some(AckWatch::new(now.into_std()));
            self.set_timer(now + CHECK_INTERVAL);
        }
    }

    fn set_timer(&mut self, at: Instant) {
        match &mut self.timer {
            Some(it) => it.as_mut().reset(at),
            None => self.timer = Some(Box::pin(sleep_until(at))),
        }
    }

    /// Looks at the connection if it is time to, and wakes the task when it is next.
    ///
    /// # Errors
    /// Fails when the peer is gone.
    fn check(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        while let (Some(watch), Some(timer)) = (&mut self.watch, &mut self.timer) {
            if timer.as_mut().poll(context).is_pending() {
                return Ok(());
            }
            let now = Instant::now();
            let state = read_send_state(&self.stream)?;
            self.has_unread = state.unsent_bytes > 0;
            match watch.check(&state, now.into_std()) {
                PeerState::Idle => self.watch = None,
                PeerState::Busy => self.set_timer(now + CHECK_INTERVAL),
                PeerState::Gone => {
                    // What is not acknowledged would otherwise be sent again for minutes.
                    let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
                    return Err(io::ErrorKind::TimedOut.into());
                }
            }
        }
        Ok(())
    }

    /// Ready once the peer has read what was written, as of the last look.
    ///
    /// # Errors
    /// Fails when the peer is gone.
    pub fn poll_all_read(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check(context)?;
        if self.has_unread { Poll::Pending } else { Poll::Ready(Ok(())) }
    }

    fn record_write(
        &mut self,
        context: &mut Context<'_>,
        result: io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        self.begin_watch();
        self.check(context)?;
        Poll::Ready(result)
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check(context)?;
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check(context)?;
        let result = ready!(Pin::new(&mut self.stream).poll_write(context, bytes));
        self.record_write(context, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check(context)?;
        let result = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices));
        self.record_write(context, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check(context)?;
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl Drop for WatchedStream {
    fn drop(&mut self) {
        if self.watch.is_some() {
            let _ = SockRef::from(&self.stream).set_tcp_user_timeout(Some(CLOSED_TIMEOUT));
        }
    }
}
