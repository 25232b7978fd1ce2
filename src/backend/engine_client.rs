//! Client of the control interface of engines.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Method;

use crate::backend::{ControlHttp, PlatformError};
use crate::wire::{LoadReport, OrderRequest};

/// Timeout of a request.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads load reports of engines and sends them orders.
#[derive(Debug, Clone)]
pub struct EngineClient {
    http: ControlHttp,
}

impl EngineClient {
    /// Creates a client for all engines.
    pub fn new(http: ControlHttp) -> EngineClient {
        EngineClient { http }
    }

    /// Waits until the budget is not in debt.
    pub async fn wait_for_budget(&self) {
        self.http.wait_for_budget(0.0).await;
    }

    /// Reads the load report of the engine at `addr`.
    ///
    /// # Errors
    /// Fails when the engine does not respond with success and a valid body.
    pub async fn load(&self, addr: SocketAddr) -> Result<LoadReport, PlatformError> {
        let url = format!("http://{addr}/load");
        self.http.json(self.http.get(&url), CALL_TIMEOUT).await
    }

    /// Sends an order to the engine at `addr`.
    ///
    /// # Errors
    /// Status 409 when the engine has received a higher fencing number; after
    /// [`PlatformError::NoAnswer`] the order may have taken effect.
    pub async fn order(&self, addr: SocketAddr, order: &OrderRequest) -> Result<(), PlatformError> {
        let url = format!("http://{addr}/orders");
        let request = self.http.request(Method::POST, &url).json(order);
        self.http.call(request, CALL_TIMEOUT).await.map(drop)
    }
}
