//! Client of the control side of engines.

use std::net::SocketAddr;
use std::time::Duration;

use crate::backend::{ControlHttp, PlatformError};
use crate::wire::LoadReport;

/// Time for a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks engines about their state.
#[derive(Debug, Clone)]
pub struct EngineClient {
    http: ControlHttp,
}

impl EngineClient {
    /// A client for all engines.
    pub fn new(http: ControlHttp) -> EngineClient {
        EngineClient { http }
    }

    /// Waits until the account is not in debt.
    pub async fn afford(&self) {
        self.http.afford(0.0).await;
    }

    /// Reads the load report of the engine at `addr`.
    ///
    /// # Errors
    /// Fails when the engine does not answer well.
    pub async fn load(&self, addr: SocketAddr) -> Result<LoadReport, PlatformError> {
        let url = format!("http://{addr}/load");
        self.http.json(self.http.get(&url), CALL_TIMEOUT).await
    }
}
