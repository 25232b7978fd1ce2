//! Client of the platform's instance list.

use std::net::SocketAddr;
use std::time::Duration;

use crate::backend::{ControlHttp, PlatformError};
use crate::wire::Instance;

/// Timeout of a request.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads the instance list.
#[derive(Debug, Clone)]
pub struct ListClient {
    http: ControlHttp,
    addr: SocketAddr,
}

impl ListClient {
    /// Creates a client of the list at `addr`.
    pub fn new(http: ControlHttp, addr: SocketAddr) -> ListClient {
        ListClient { http, addr }
    }

    /// Waits until the budget allows `bytes`.
    pub async fn wait_for_budget(&self, bytes: f64) {
        self.http.wait_for_budget(bytes).await;
    }

    /// Reads the complete list.
    ///
    /// # Errors
    /// Fails when the list does not respond with success and a valid body.
    pub async fn read(&self) -> Result<Vec<Instance>, PlatformError> {
        let url = format!("http://{}/instances", self.addr);
        self.http.json(self.http.get(&url), CALL_TIMEOUT).await
    }
}
