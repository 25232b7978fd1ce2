//! Client of the control interface of routers.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Method;
use serde::de::DeserializeOwned;

use crate::backend::{ControlHttp, PlatformError};
use crate::events::{Event, EventPage};
use crate::wire::{Gossip, WireInForce, WireOutcome, WireStatus, pack_gossip, unpack_gossip};

/// Header with the shared token of the fleet.
pub const TOKEN_HEADER: &str = "filberttiller-token";
/// Path of gossip exchanges.
const GOSSIP_PATH: &str = "/v1/gossip";
/// Timeout of a gossip exchange.
const GOSSIP_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of any other request.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads state, events and status of routers, and exchanges gossip with them.
#[derive(Debug, Clone)]
pub struct RouterClient {
    http: ControlHttp,
    token: String,
}

impl RouterClient {
    /// Creates a client that authenticates with `token`.
    pub fn new(http: ControlHttp, token: &str) -> RouterClient {
        RouterClient { http, token: token.to_owned() }
    }

    /// Reads the state in force at the router with control address `addr`.
    ///
    /// # Errors
    /// Fails when the router does not respond with success and a valid body.
    pub async fn in_force(&self, addr: SocketAddr) -> Result<WireInForce, PlatformError> {
        self.get(addr, "/v1/in-force").await
    }

    /// Reads the outcome of the record at `offset`; `None` while it is unknown.
    ///
    /// # Errors
    /// Fails when the router does not respond with success and a valid body.
    pub async fn outcome(
        &self,
        addr: SocketAddr,
        offset: u64,
    ) -> Result<Option<WireOutcome>, PlatformError> {
        self.get(addr, &format!("/v1/outcome?offset={offset}")).await
    }

    /// Reads the events from sequence number `from` on.
    ///
    /// # Errors
    /// Fails when the router does not respond with success and a valid body.
    pub async fn events(&self, addr: SocketAddr, from: u64) -> Result<Vec<Event>, PlatformError> {
        self.get(addr, &format!("/v1/events?from={from}")).await
    }

    /// Reads the events that are not older than `age`.
    ///
    /// # Errors
    /// Fails when the router does not respond with success and a valid body.
    pub async fn timeline(
        &self,
        addr: SocketAddr,
        age: Duration,
    ) -> Result<EventPage, PlatformError> {
        self.get(addr, &format!("/v1/timeline?last_ms={}", age.as_millis())).await
    }

    /// Reads the status.
    ///
    /// # Errors
    /// Fails when the router does not respond with success and a valid body.
    pub async fn status(&self, addr: SocketAddr) -> Result<WireStatus, PlatformError> {
        self.get(addr, "/v1/status").await
    }

    /// Waits until the budget allows `bytes`.
    pub async fn wait_for_budget(&self, bytes: f64) {
        self.http.wait_for_budget(bytes).await;
    }

    /// Whether the budget allows `bytes` now.
    pub fn has_budget(&self, bytes: f64) -> bool {
        self.http.has_budget(bytes)
    }

    /// Exchanges gossip with the router at `addr`.
    ///
    /// # Errors
    /// Fails when the router does not respond with success and a valid body.
    pub async fn gossip(
        &self,
        addr: SocketAddr,
        message: &Gossip,
    ) -> Result<Gossip, PlatformError> {
        let malformed = |fault: String| PlatformError::Malformed { fault };
        let body = pack_gossip(message).map_err(|e| malformed(e.to_string()))?;
        let request = self.http.request(Method::POST, &format!("http://{addr}{GOSSIP_PATH}"));
        let request = request.header(TOKEN_HEADER, &self.token).body(body);
        let reply = self.http.call(request, GOSSIP_TIMEOUT).await?;
        unpack_gossip(&reply).map_err(|e| malformed(e.to_string()))
    }

    async fn get<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T, PlatformError> {
        let url = format!("http://{addr}{path}");
        let request = self.http.get(&url).header(TOKEN_HEADER, &self.token);
        self.http.json(request, CALL_TIMEOUT).await
    }
}
