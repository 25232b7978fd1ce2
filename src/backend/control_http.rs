//! HTTP client for control requests, which counts every byte sent and received.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use reqwest::header::{HeaderMap, HeaderValue};
use reqwest::{Method, RequestBuilder};
use serde::de::DeserializeOwned;
use tokio::time::sleep;

use crate::backend::{PlatformError, TOKEN_HEADER, TrafficMeter};
use crate::events::EventLog;
use crate::filters::TIME_HEADER;
use crate::fleet::{Budget, Purpose};

/// Minimum pause between two checks of the budget.
const MIN_BUDGET_PAUSE: Duration = Duration::from_millis(2);
/// Characters of an error body that are kept.
const MAX_ERROR_BODY_CHARS: usize = 200;
/// Bytes of a request line without method and target, and of the empty line after the headers.
const REQUEST_OVERHEAD_BYTES: usize = 14;
/// Bytes of a status line with its reason, and of the empty line after the headers.
const RESPONSE_OVERHEAD_BYTES: usize = 19;
/// Bytes of the headers that the HTTP library adds: `accept`, and `host` without its value.
const LIBRARY_HEADER_BYTES: usize = 13 + 8;
/// Bytes of a header besides its name and value.
const HEADER_OVERHEAD_BYTES: usize = 4;

/// HTTP client for control requests.
#[derive(Debug, Clone)]
pub struct ControlHttp {
    http: reqwest::Client,
    meter: Arc<TrafficMeter>,
    events: Option<Arc<EventLog>>,
    purpose: Purpose,
    budget: Option<Arc<Budget>>,
}

impl ControlHttp {
    /// Creates a client without a budget that counts its bytes in `meter` as
    /// [`Purpose::Gossip`]; see [`ControlHttp::with_budget`] for other purposes.
    pub fn new(http: reqwest::Client, meter: Arc<TrafficMeter>) -> ControlHttp {
        ControlHttp { http, meter, events: None, purpose: Purpose::Gossip, budget: None }
    }

    /// Adds the hybrid logical time of `events` to requests to other routers.
    pub fn with_events(self, events: Arc<EventLog>) -> ControlHttp {
        ControlHttp { events: Some(events), ..self }
    }

    /// Clones the client, with `budget` charged for its requests under `purpose`.
    pub fn with_budget(&self, budget: &Arc<Budget>, purpose: Purpose) -> ControlHttp {
        ControlHttp { purpose, budget: Some(Arc::clone(budget)), ..self.clone() }
    }

    /// Waits until the budget allows `bytes`.
    pub async fn wait_for_budget(&self, bytes: f64) {
        let Some(budget) = &self.budget else {
            return;
        };
        loop {
            let delay = budget.delay(self.purpose, bytes);
            if delay.is_zero() {
                return;
            }
            sleep(delay.max(MIN_BUDGET_PAUSE)).await;
        }
    }

    /// Whether the budget allows `bytes` now.
    pub fn has_budget(&self, bytes: f64) -> bool {
        self.budget.as_ref().is_none_or(|it| it.balance(self.purpose) >= bytes)
    }

    fn count(&self, bytes: usize) {
        self.meter.add(self.purpose, bytes);
        if let Some(budget) = &self.budget {
            budget.spend(self.purpose, bytes);
        }
    }

    /// Begins a request.
    pub fn request(&self, method: Method, url: &str) -> RequestBuilder {
        self.http.request(method, url)
    }

    /// Begins a GET request.
    pub fn get(&self, url: &str) -> RequestBuilder {
        self.request(Method::GET, url)
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    /// Fails on any status but success, and on an incomplete response.
    pub async fn call(
        &self,
        request: RequestBuilder,
        timeout: Duration,
    ) -> Result<Bytes, PlatformError> {
        let mut request = request.timeout(timeout).build()?;
        let to_router = request.headers().contains_key(TOKEN_HEADER);
        let events = self.events.as_ref().filter(|_| to_router);
        if let Some(events) = events
            && let Ok(time) = HeaderValue::from_str(&events.time().to_string())
        {
            request.headers_mut().insert(TIME_HEADER, time);
        }
        let body = request.body().and_then(|it| it.as_bytes()).map_or(0, <[u8]>::len);
        let url = request.url();
        let target = url.path().len() + url.query().map_or(0, |it| it.len() + 1);
        let line = request.method().as_str().len() + target + REQUEST_OVERHEAD_BYTES;
        let host = url.authority().len();
        let head = line + host + LIBRARY_HEADER_BYTES + head_bytes(request.headers());
        self.count(head + length_bytes(body) + body);
        let reply = self.http.execute(request).await?;
        let time = reply.headers().get(TIME_HEADER).and_then(|it| it.to_str().ok());
        if let (Some(events), Some(time)) = (events, time) {
            events.observe(time);
        }
        self.count(RESPONSE_OVERHEAD_BYTES + head_bytes(reply.headers()));
        let status = reply.status();
        let body = reply.bytes().await?;
        self.count(body.len());
        if status.is_success() {
            return Ok(body);
        }
        let body = String::from_utf8_lossy(&body).chars().take(MAX_ERROR_BODY_CHARS).collect();
        Err(PlatformError::Status { status: status.as_u16(), body })
    }

    /// Sends a request and parses the response as JSON.
    ///
    /// # Errors
    /// Fails as [`ControlHttp::call`] does, and on a malformed response.
    pub async fn json<T: DeserializeOwned>(
        &self,
        request: RequestBuilder,
        timeout: Duration,
    ) -> Result<T, PlatformError> {
        let body = self.call(request, timeout).await?;
        serde_json::from_slice(&body).map_err(|e| PlatformError::Malformed { fault: e.to_string() })
    }
}

/// Bytes of all headers on the wire.
pub(crate) fn head_bytes(headers: &HeaderMap) -> usize {
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD_BYTES)
        .sum()
}

/// Bytes of the `content-length` header, which is sent only with a body.
fn length_bytes(body: usize) -> usize {
    if body == 0 { 0 } else { "content-length: \r\n".len() + body.to_string().len() }
}
