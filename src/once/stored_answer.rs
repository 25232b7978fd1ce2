//! Answers stored for repeated calls.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use warp::Reply;
use warp::http::{HeaderValue, StatusCode};
use warp::reply::Response;

/// The answer to the only run of an at-most-once call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Content type of the answer, if it has one.
    pub content_type: Option<HeaderValue>,
    /// Complete body of the answer.
    pub body: Bytes,
}

impl StoredAnswer {
    /// Reads the answer of a service; `None` when its body cannot be read.
    pub(crate) async fn read(reply: Response) -> Option<Arc<StoredAnswer>> {
        let (head, body) = reply.into_parts();
        let content_type = head.headers.get("content-type").cloned();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Arc::new(StoredAnswer { status: head.status, content_type, body }))
    }

    /// Size of body and content type in bytes.
    pub(crate) fn size(&self) -> usize {
        self.body.len() + self.content_type.as_ref().map_or(0, HeaderValue::len)
    }

    /// Builds the response for a caller.
    pub(crate) fn reply(&self) -> Response {
        let mut reply = warp::http::Response::new(self.body.clone()).into_response();
        *reply.status_mut() = self.status;
        if let Some(content_type) = &self.content_type {
            reply.headers_mut().insert("content-type", content_type.clone());
        }
        reply
    }
}
