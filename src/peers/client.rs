//! Messages to other routers.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use reqwest::Client;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::wire::{WireExchange, WireServers, WireServersAsk};

/// Path of exchanges.
pub(crate) const EXCHANGE_PATH: &str = "/exchange";
/// Path of questions for backend servers.
pub(crate) const SERVERS_PATH: &str = "/servers";
/// Time for a connection to another router.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a connection is kept between exchanges.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// An exchange that failed.
#[derive(Debug)]
pub enum PeerError {
    /// Nobody listens there: the process is gone.
    Refused,
    /// It did not answer well in time.
    Failed(String),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerError::Refused => f.write_str("connection refused"),
            PeerError::Failed(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for PeerError {}

/// Sends messages to other routers.
#[derive(Debug, Clone)]
pub struct PeerClient {
    http: Client,
}

impl PeerClient {
    /// A client without connections.
    ///
    /// # Errors
    /// Fails when the client cannot be made.
    pub fn new() -> Result<PeerClient, reqwest::Error> {
        let http = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(EXCHANGE_TIMEOUT)
            .pool_idle_timeout(IDLE_TIME)
            .no_proxy()
            .build()?;
        Ok(PeerClient { http })
    }

    /// Tells the router at `peer` a message and returns its own.
    ///
    /// # Errors
    /// Tells whether the process there is gone or only did not answer.
    pub async fn exchange(&self, peer: SocketAddr, body: Bytes) -> Result<WireExchange, PeerError> {
        self.call(peer, EXCHANGE_PATH, body).await
    }

    /// Asks the router at `peer` for changes of backend servers.
    ///
    /// # Errors
    /// Tells whether the process there is gone or only did not answer.
    pub async fn servers(
        &self,
        peer: SocketAddr,
        ask: &WireServersAsk,
    ) -> Result<WireServers, PeerError> {
        let body = encode(ask).map_err(|e| PeerError::Failed(e.to_string()))?;
        self.call(peer, SERVERS_PATH, body).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<T, PeerError> {
        let sent = self.http.post(format!("http://{peer}{path}")).body(body).send().await;
        let response = sent.and_then(reqwest::Response::error_for_status).map_err(failed)?;
        let body = response.bytes().await.map_err(failed)?;
        decode(&body).map_err(|e| PeerError::Failed(format!("unreadable message: {e}")))
    }
}

fn failed(e: reqwest::Error) -> PeerError {
    let refused = std::iter::successors(std::error::Error::source(&e), |it| it.source())
        .filter_map(|it| it.downcast_ref::<std::io::Error>())
        .any(|it| it.kind() == std::io::ErrorKind::ConnectionRefused);
    if refused { PeerError::Refused } else { PeerError::Failed(e.to_string()) }
}

/// A message as bytes.
///
/// # Errors
/// Fails when it cannot be written.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, rmp_serde::encode::Error> {
    rmp_serde::to_vec(message).map(Bytes::from)
}

/// Reads a message.
///
/// # Errors
/// Fails when the bytes are no message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}
