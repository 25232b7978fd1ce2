//! One connection to a backend server.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Time for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time in which the peer must acknowledge what was sent, before the connection counts as dead.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection that did not come about; nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectError {
    /// The peer refused it or the network failed.
    Refused,
    /// No answer in time.
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

/// A request that got no answer on its connection.
#[derive(Debug)]
pub enum SendError {
    /// Not a byte of it was sent; here it is again.
    Unsent(Box<Request<Full<Bytes>>>),
    /// It may have arrived.
    Lost(hyper::Error),
}

/// An open connection; dropping it closes it, whatever is under way.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    /// When it was last used.
    pub used: Instant,
    /// It has carried a request before.
    pub reused: bool,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// Fails when the peer refuses it or does not answer in time.
    pub async fn open(address: SocketAddr, now: Instant) -> Result<Connection, ConnectError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = stream.await.map_err(|_| ConnectError::TimedOut)?;
        let stream = stream.map_err(|_| ConnectError::Refused)?;
        prepare(&stream);
        let shaken = Builder::new().handshake(TokioIo::new(stream)).await;
        let (sender, driver) = shaken.map_err(|_| ConnectError::Refused)?;
        // How it ended is told to the request that was under way.
        let driver = tokio::spawn(async move {
            let _ = driver.await;
        });
        Ok(Connection { sender, driver, used: now, reused: false })
    }

    /// Whether it can carry a request now.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// Tells whether the request may have arrived.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender.try_send_request(request).await.map_err(|mut e| match e.take_message() {
            Some(unsent) => SendError::Unsent(Box::new(unsent)),
            None => SendError::Lost(e.into_error()),
        })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Options of every socket that carries requests. One that cannot be set
/// costs speed only: nothing is to be done about it.
pub(crate) fn prepare(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
}
