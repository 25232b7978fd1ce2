//! Client of the platform's log service: append-only streams of records with offsets.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Method;
use serde_json::Value;

use crate::backend::{ControlHttp, PlatformError};
use crate::wire::{Appended, Page};

/// Timeout of a request, on top of the time of a long poll, in which the log waits for new
/// records.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads and appends records of the log.
#[derive(Debug, Clone)]
pub struct LogClient {
    http: ControlHttp,
    addr: SocketAddr,
    timeout: Duration,
}

impl LogClient {
    /// Creates a client of the log at `addr`.
    pub fn new(http: ControlHttp, addr: SocketAddr) -> LogClient {
        LogClient { http, addr, timeout: CALL_TIMEOUT }
    }

    /// Sets another timeout for requests.
    pub fn with_timeout(self, timeout: Duration) -> LogClient {
        LogClient { timeout, ..self }
    }

    /// Waits until the bandwidth budget for control traffic allows `bytes`.
    pub async fn wait_for_budget(&self, bytes: f64) {
        self.http.wait_for_budget(bytes).await;
    }

    /// Waits until that budget allows `bytes`, but no longer than `max_wait`.
    pub async fn wait_for_budget_within(&self, bytes: f64, max_wait: Duration) {
        let _ = tokio::time::timeout(max_wait, self.http.wait_for_budget(bytes)).await;
    }

    /// Reads `stream` from offset `from` on, as a long poll: when there is no record yet,
    /// the log responds after `wait` at the latest.
    ///
    /// # Errors
    /// Fails when the log does not respond with success and a valid body.
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

    /// Appends `body` to `stream` and returns the offset of the new record.
    ///
    /// # Errors
    /// After [`PlatformError::NoAnswer`] the record may have been appended.
    pub async fn append(&self, stream: &str, body: &Value) -> Result<u64, PlatformError> {
        let url = format!("http://{}/streams/{stream}/records", self.addr);
        let request = self.http.request(Method::POST, &url).json(body);
        let appended: Appended = self.http.json(request, self.timeout).await?;
        Ok(appended.offset)
    }

    /// Appends `body`, with up to `attempts` attempts until a response arrives; only for
    /// records whose duplication is harmless.
    ///
    /// # Errors
    /// The last failure; after [`PlatformError::NoAnswer`] the record may have been
    /// appended.
    pub async fn append_with_retries(
        &self,
        stream: &str,
        body: &Value,
        attempts: usize,
    ) -> Result<u64, PlatformError> {
        let mut remaining = attempts;
        loop {
            remaining = remaining.saturating_sub(1);
            match self.append(stream, body).await {
                Err(PlatformError::NoAnswer { .. }) if remaining > 0 => {}
                result => return result,
            }
        }
    }
}
