//! Answers kept for repeats.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use warp::Reply;
use warp::http::{HeaderValue, StatusCode};
use warp::reply::Response;

/// The first answer to a once-only call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// Status of the service's answer.
    pub status: StatusCode,
    /// Its content type.
    pub kind: Option<HeaderValue>,
    /// Its body.
    pub body: Bytes,
}

impl StoredAnswer {
    /// Takes an answer apart; `None` when its body cannot be read.
    pub(crate) async fn read(reply: Response) -> Option<Arc<StoredAnswer>> {
        let (head, body) = reply.into_parts();
        let kind = head.headers.get("content-type").cloned();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Arc::new(StoredAnswer { status: head.status, kind, body }))
    }

    /// Bytes that it takes.
    pub(crate) fn size(&self) -> usize {
        self.body.len() + self.kind.as_ref().map_or(0, HeaderValue::len)
    }

    /// The answer again.
    pub(crate) fn reply(&self) -> Response {
        let mut reply = warp::http::Response::new(self.body.clone()).into_response();
        *reply.status_mut() = self.status;
        if let Some(kind) = &self.kind {
            reply.headers_mut().insert("content-type", kind.clone());
        }
        reply
    }
}
