//! Client of the platform's log service.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Method;
use serde_json::Value;

use crate::backend::{ControlHttp, PlatformError};
use crate::wire::{Appended, Page};

/// Time for a call besides the time it is asked to wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads and appends records.
#[derive(Debug, Clone)]
pub struct LogClient {
    http: ControlHttp,
    addr: SocketAddr,
    timeout: Duration,
}

impl LogClient {
    /// A client of the log at `addr`.
    pub fn new(http: ControlHttp, addr: SocketAddr) -> LogClient {
        LogClient { http, addr, timeout: CALL_TIMEOUT }
    }

    /// The same client with another time for a call.
    pub fn with_timeout(self, timeout: Duration) -> LogClient {
        LogClient { timeout, ..self }
    }

    /// Waits until the account has `bytes` to spend.
    pub async fn wait_for_budget(&self, bytes: f64) {
        self.http.wait_for_budget(bytes).await;
    }

    /// Waits until the account has `bytes` to spend, but no longer than `most`.
    pub async fn wait_for_budget_within(&self, bytes: f64, most: Duration) {
        let _ = tokio::time::timeout(most, self.http.wait_for_budget(bytes)).await;
    }

    /// Reads `stream` from offset `from` on, waiting up to `wait` for news.
    ///
    /// # Errors
    /// Fails when the log does not answer well.
    pub async fn read(
        &self,
        stream: &str,
        from: u64,
        wait: Duration,
    ) -> Result<Page, PlatformError> {
        let url = format!(
            "http://{}/streams/{stream}/records?from={from}&wait_ms={}",
            self.addr,
            wait.as_millis()
        );
        self.http.json(self.http.get(&url), wait + self.timeout).await
    }

    /// Appends `body` to `stream` and returns its offset.
    ///
    /// # Errors
    /// After [`PlatformError::NoAnswer`] the record may be there all the same.
    pub async fn append(&self, stream: &str, body: &Value) -> Result<u64, PlatformError> {
        let url = format!("http://{}/streams/{stream}/records", self.addr);
        let request = self.http.request(Method::POST, &url).json(body);
        let appended: Appended = self.http.json(request, self.timeout).await?;
        Ok(appended.offset)
    }

    /// Appends `body` up to `tries` times, until a reply comes; only for records
    /// that may stand in the stream twice.
    ///
    /// # Errors
    /// The last failure; after [`PlatformError::NoAnswer`] the record may be there.
    pub async fn append_with_retries(
        &self,
        stream: &str,
        body: &Value,
        tries: usize,
    ) -> Result<u64, PlatformError> {
        let mut left = tries;
        loop {
            left = left.saturating_sub(1);
            match self.append(stream, body).await {
                Err(PlatformError::NoAnswer { .. }) if left > 0 => {}
                result => return result,
            }
        }
    }
}
