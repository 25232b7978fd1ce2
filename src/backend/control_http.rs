//! HTTP client of the control side: every byte is counted.

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

/// Shortest pause while waiting for the account.
const MIN_PAUSE: Duration = Duration::from_millis(2);
/// Longest part of an error body that is kept, in characters.
const MAX_ERROR_BODY: usize = 200;
/// Bytes of a request line besides method and path, and the empty line.
const REQUEST_BYTES: usize = 14;
/// Bytes of a status line with its reason, and the empty line.
const STATUS_BYTES: usize = 19;
/// Bytes of the headers that the client adds: `accept`, `host` besides its value.
const ADDED_BYTES: usize = 13 + 8;
/// Bytes around a header's name and value.
const HEADER_BYTES: usize = 4;

/// HTTP client of the control side.
#[derive(Debug, Clone)]
pub struct ControlHttp {
    http: reqwest::Client,
    meter: Arc<TrafficMeter>,
    events: Option<Arc<EventLog>>,
    purpose: Purpose,
    budget: Option<Arc<Budget>>,
}

impl ControlHttp {
    /// A client that counts into `meter`, for exchanges unless `with_budget` tells otherwise.
    pub fn new(http: reqwest::Client, meter: Arc<TrafficMeter>) -> ControlHttp {
        ControlHttp { http, meter, events: None, purpose: Purpose::Gossip, budget: None }
    }

    /// Sends hybrid logical time along with calls to other routers.
    pub fn with_events(self, events: Arc<EventLog>) -> ControlHttp {
        ControlHttp { events: Some(events), ..self }
    }

    /// The same client with an account of `budget` that pays for its calls.
    pub fn with_budget(&self, budget: &Arc<Budget>, purpose: Purpose) -> ControlHttp {
        ControlHttp { purpose, budget: Some(Arc::clone(budget)), ..self.clone() }
    }

    /// Waits until the account has `bytes` to spend.
    pub async fn wait_for_budget(&self, bytes: f64) {
        let Some(budget) = &self.budget else {
            return;
        };
        loop {
            let delay = budget.delay(self.purpose, bytes);
            if delay.is_zero() {
                return;
            }
            sleep(delay.max(MIN_PAUSE)).await;
        }
    }

    /// Whether the account has `bytes` to spend now.
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

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// Any status but success, and any answer that does not arrive whole.
    pub async fn call(
        &self,
        request: RequestBuilder,
        timeout: Duration,
    ) -> Result<Bytes, PlatformError> {
        let mut request = request.timeout(timeout).build()?;
        let peer = request.headers().contains_key(TOKEN_HEADER);
        let events = self.events.as_ref().filter(|_| peer);
        if let Some(events) = events
            && let Ok(time) = HeaderValue::from_str(&events.time().to_string())
        {
            request.headers_mut().insert(TIME_HEADER, time);
        }
        let body = request.body().and_then(|it| it.as_bytes()).map_or(0, <[u8]>::len);
        let url = request.url();
        let target = url.path().len() + url.query().map_or(0, |it| it.len() + 1);
        let line = request.method().as_str().len() + target + REQUEST_BYTES;
        let host = url.authority().len();
        let head = line + host + ADDED_BYTES + head_bytes(request.headers());
        self.count(head + length_bytes(body) + body);
        let reply = self.http.execute(request).await?;
        let time = reply.headers().get(TIME_HEADER).and_then(|it| it.to_str().ok());
        if let (Some(events), Some(time)) = (events, time) {
            events.observe(time);
        }
        self.count(STATUS_BYTES + head_bytes(reply.headers()));
        let status = reply.status();
        let body = reply.bytes().await?;
        self.count(body.len());
        if status.is_success() {
            return Ok(body);
        }
        let body = String::from_utf8_lossy(&body).chars().take(MAX_ERROR_BODY).collect();
        Err(PlatformError::Status { status: status.as_u16(), body })
    }

    /// Sends a request and reads the answer as JSON.
    ///
    /// # Errors
    /// As `call`, and an answer of another form.
    pub async fn json<T: DeserializeOwned>(
        &self,
        request: RequestBuilder,
        timeout: Duration,
    ) -> Result<T, PlatformError> {
        let body = self.call(request, timeout).await?;
        serde_json::from_slice(&body).map_err(|e| PlatformError::Malformed { fault: e.to_string() })
    }
}

pub(crate) fn head_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES).sum()
}

/// Bytes of the header that tells the length of a body.
fn length_bytes(body: usize) -> usize {
    if body == 0 { 0 } else { "content-length: \r\n".len() + body.to_string().len() }
}
