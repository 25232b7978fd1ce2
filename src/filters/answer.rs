//! Answers to callers.

use bytes::Bytes;
use serde::Serialize;
use warp::Reply;
use warp::http::HeaderValue;
use warp::reply::Response;

use crate::decide::Verdict;
use crate::filters::{REQUEST_HEADER, VERDICT_HEADER};

/// A 200 answer with `body` as JSON.
pub(crate) fn json<T: Serialize>(body: &T) -> Response {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut reply = warp::http::Response::new(Bytes::from(bytes));
    reply.headers_mut().insert("content-type", HeaderValue::from_static("application/json"));
    reply.into_response()
}

/// Adds the request id and the verdict to an answer.
pub(crate) fn mark(reply: &mut Response, request: &str, verdict: Verdict) {
    let headers = reply.headers_mut();
    headers.insert(VERDICT_HEADER, HeaderValue::from_static(verdict.as_str()));
    if let Ok(id) = HeaderValue::from_str(request) {
        headers.insert(REQUEST_HEADER, id);
    }
}
