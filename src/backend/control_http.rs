//! HTTP client of the control side: every byte is counted.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use reqwest::header::{HeaderMap, HeaderValue};
use reqwest::{Method, RequestBuilder};
use serde::de::DeserializeOwned;

use crate::backend::{Meter, PlatformError, TOKEN_HEADER};
use crate::events::EventLog;
use crate::filters::TIME_HEADER;

/// Longest part of an error body that is kept, in characters.
const MAX_ERROR_BODY: usize = 200;
/// Bytes of a request or status line besides method and path.
const LINE_BYTES: usize = 13;
/// Bytes around a header's name and value.
const HEADER_BYTES: usize = 4;

/// HTTP client of the control side.
#[derive(Debug, Clone)]
pub struct ControlHttp {
    http: reqwest::Client,
    meter: Arc<Meter>,
    events: Option<Arc<EventLog>>,
}

impl ControlHttp {
    /// A client that counts into `meter`.
    pub fn new(http: reqwest::Client, meter: Arc<Meter>) -> ControlHttp {
        ControlHttp { http, meter, events: None }
    }

    /// Sends hybrid logical time along with calls to other routers.
    pub fn with_events(self, events: Arc<EventLog>) -> ControlHttp {
        ControlHttp { events: Some(events), ..self }
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
        let line = request.method().as_str().len() + request.url().path().len() + LINE_BYTES;
        self.meter.add_sent(line + head_bytes(request.headers()) + body);
        let reply = self.http.execute(request).await?;
        let time = reply.headers().get(TIME_HEADER).and_then(|it| it.to_str().ok());
        if let (Some(events), Some(time)) = (events, time) {
            events.observe(time);
        }
        self.meter.add_received(LINE_BYTES + head_bytes(reply.headers()));
        let status = reply.status();
        let body = reply.bytes().await?;
        self.meter.add_received(body.len());
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
        serde_json::from_slice(&body).map_err(|e| PlatformError::Form { fault: e.to_string() })
    }
}

fn head_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES).sum()
}
