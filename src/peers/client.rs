//! Client for requests to other routers.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use reqwest::Client;

use crate::peers::encoding::decode_with;
use crate::peers::{Message, decode, encode};
use crate::wire::{
    WireOriginQuery, WireOriginReply, WireServers, WireServersAddition, WireServersRequest,
    WireStreamOrigins,
};

/// Path for the exchange of state between routers.
pub(crate) const EXCHANGE_PATH: &str = "/exchange";
/// Path for requests for changes of backend servers.
pub(crate) const SERVERS_PATH: &str = "/servers";
/// Path for telling which software versions began streams.
pub(crate) const ORIGINS_PATH: &str = "/origins";
/// Path for asking which software version began a stream.
pub(crate) const ORIGIN_PATH: &str = "/origin";
/// Limit on establishing a connection to another router.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Limit on a request and its response.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);
/// How long an idle connection stays in the pool.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a request to another router failed.
#[derive(Debug)]
pub enum PeerError {
    /// The connection was refused: no process listens there any more.
    Refused,
    /// Any other failure: a timeout, an error status or an unreadable response.
    Failed(String),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerError::Refused => f.write_str("connection refused"),
            PeerError::Failed(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for PeerError {}

/// Sends requests to other routers.
#[derive(Debug, Clone)]
pub struct PeerClient {
    http: Client,
}

impl PeerClient {
    /// Makes a client without connections.
    ///
    /// # Errors
    /// Fails when the HTTP client cannot be built.
    pub fn new() -> Result<PeerClient, reqwest::Error> {
        let http = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(REQUEST_TIMEOUT)
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .no_proxy()
            .build()?;
        Ok(PeerClient { http })
    }

    /// Sends an encoded message to the router at `peer` and returns the message it replies with.
    ///
    /// # Errors
    /// `Refused` when no process listens there, `Failed` for any other failure.
    pub async fn exchange(&self, peer: SocketAddr, body: Bytes) -> Result<Message, PeerError> {
        let reply = self.post(peer, EXCHANGE_PATH, body).await?;
        Message::decode(&reply).map_err(undecodable)
    }

    /// Requests changes of backend servers from the router at `peer`, with the software
    /// versions of the servers that it replies with; routers that do not know versions send none.
    ///
    /// # Errors
    /// `Refused` when no process listens there, `Failed` for any other failure.
    pub async fn servers(
        &self,
        peer: SocketAddr,
        request: &WireServersRequest,
    ) -> Result<(WireServers, Option<WireServersAddition>), PeerError> {
        let body = encode(request).map_err(|e| PeerError::Failed(e.to_string()))?;
        let reply = self.post(peer, SERVERS_PATH, body).await?;
        decode_with(&reply).map_err(undecodable)
    }

    /// Tells the router at `peer` which software versions began streams.
    ///
    /// # Errors
    /// `Refused` when no process listens there, `Failed` for any other failure.
    pub async fn tell_origins(
        &self,
        peer: SocketAddr,
        message: &WireStreamOrigins,
    ) -> Result<(), PeerError> {
        let body = encode(message).map_err(|e| PeerError::Failed(e.to_string()))?;
        self.post(peer, ORIGINS_PATH, body).await.map(drop)
    }

    /// Asks the router at `peer` which software version began a stream.
    ///
    /// # Errors
    /// `Refused` when no process listens there, `Failed` for any other failure.
    pub async fn origin(
        &self,
        peer: SocketAddr,
        query: &WireOriginQuery,
    ) -> Result<WireOriginReply, PeerError> {
        let body = encode(query).map_err(|e| PeerError::Failed(e.to_string()))?;
        let reply = self.post(peer, ORIGIN_PATH, body).await?;
        decode(&reply).map_err(undecodable)
    }

    async fn post(&self, peer: SocketAddr, path: &str, body: Bytes) -> Result<Bytes, PeerError> {
        let sent = self.http.post(format!("http://{peer}{path}")).body(body).send().await;
        let response = sent.and_then(reqwest::Response::error_for_status).map_err(peer_error)?;
        response.bytes().await.map_err(peer_error)
    }
}

fn undecodable(e: rmp_serde::decode::Error) -> PeerError {
    PeerError::Failed(format!("cannot decode the response: {e}"))
}

fn peer_error(e: reqwest::Error) -> PeerError {
    let refused = std::iter::successors(std::error::Error::source(&e), |it| it.source())
        .filter_map(|it| it.downcast_ref::<std::io::Error>())
        .any(|it| it.kind() == std::io::ErrorKind::ConnectionRefused);
    if refused { PeerError::Refused } else { PeerError::Failed(e.to_string()) }
}
