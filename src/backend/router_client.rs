//! Client of the control side of routers.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;

use crate::backend::{ControlHttp, PlatformError};
use crate::events::{Event, EventPage};
use crate::wire::{WireInForce, WireStatus};

/// Header that carries the shared token.
pub const TOKEN_HEADER: &str = "filberttiller-token";
/// Time for a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads what routers tell operators.
#[derive(Debug, Clone)]
pub struct RouterClient {
    http: ControlHttp,
    token: String,
}

impl RouterClient {
    /// A client that shows `token`.
    pub fn new(http: ControlHttp, token: &str) -> RouterClient {
        RouterClient { http, token: token.to_owned() }
    }

    /// Reads the state in force at the router with control address `addr`.
    ///
    /// # Errors
    /// Fails when the router does not answer well.
    pub async fn in_force(&self, addr: SocketAddr) -> Result<WireInForce, PlatformError> {
        self.get(addr, "/v1/in-force").await
    }

    /// Reads the events from sequence number `from` on.
    ///
    /// # Errors
    /// Fails when the router does not answer well.
    pub async fn events(&self, addr: SocketAddr, from: u64) -> Result<Vec<Event>, PlatformError> {
        self.get(addr, &format!("/v1/events?from={from}")).await
    }

    /// Reads the events that are not older than `age`.
    ///
    /// # Errors
    /// Fails when the router does not answer well.
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
    /// Fails when the router does not answer well.
    pub async fn status(&self, addr: SocketAddr) -> Result<WireStatus, PlatformError> {
        self.get(addr, "/v1/status").await
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
