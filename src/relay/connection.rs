//! A connection to a backend server.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpSocket;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::relay::read_budget::{BudgetedStream, ReadBudget};
use crate::relay::watched_stream::WatchedStream;

/// Time within which a new connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Receive buffer of a connection, which the kernel may double. What it holds counts as memory of
/// the process on the users' platform.
const RECEIVE_BUFFER_BYTES: u32 = 256 * 1024;

/// Why a connection was not established; nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectError {
    /// The peer refused it, or the network failed.
    Refused,
    /// The peer did not answer in time.
    TimedOut,
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ConnectError::Refused => "refused",
            ConnectError::TimedOut => "no answer",
        })
    }
}

impl std::error::Error for ConnectError {}

/// Why a request got no answer on its connection.
#[derive(Debug)]
pub enum SendError {
    /// Not a byte of it was sent; the request is handed back.
    Unsent(Box<Request<Full<Bytes>>>),
    /// It may have reached the peer, whose bytes are no answer.
    Garbled,
    /// It may have reached the peer.
    Lost,
}

/// An open connection. Dropping it closes it, even with a request in flight.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// What its server may still send before the next part of an answer.
    pub(crate) budget: ReadBudget,
    driver: JoinHandle<()>,
    /// When it was last used.
    pub last_used: Instant,
    /// It has carried a request before.
    pub is_reused: bool,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// Fails when the peer refuses it or does not answer in time.
    pub async fn open(address: SocketAddr, now: Instant) -> Result<Connection, ConnectError> {
        let socket = new_socket(address).map_err(|_| ConnectError::Refused)?;
        let stream = timeout(CONNECT_TIMEOUT, socket.connect(address));
        let stream = stream.await.map_err(|_| ConnectError::TimedOut)?;
        let stream = stream.map_err(|_| ConnectError::Refused)?;
        let budget = ReadBudget::new();
        let stream = BudgetedStream::new(WatchedStream::new(stream), budget.clone());
        let handshake = Builder::new().handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(|_| ConnectError::Refused)?;
        // The request in flight gets the error, if there is one.
        let driver = tokio::spawn(async move {
            let _ = driver.await;
        });
        Ok(Connection { sender, budget, driver, last_used: now, is_reused: false })
    }

    /// Whether a request can be sent on it now.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// Fails when no answer arrives; the error states whether the request may have arrived.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.budget.begin_head();
        let sent = self.sender.try_send_request(request).await;
        let is_endless = self.budget.is_spent();
        self.budget.begin_part();
        sent.map_err(|mut e| match e.take_message() {
            Some(unsent) => SendError::Unsent(Box::new(unsent)),
            None if is_endless || e.error().is_parse() => SendError::Garbled,
            None => SendError::Lost,
        })
    }
}

/// A socket that takes a limited amount of bytes ahead.
fn new_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    Ok(socket)
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
