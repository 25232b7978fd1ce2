//! Replies shared by all stand-ins.

use std::convert::Infallible;

use bytes::Bytes;
use serde::Serialize;
use warp::http::{Response, StatusCode};

/// Encodes `body` as JSON with `status`.
pub fn json_reply<T: Serialize>(status: StatusCode, body: &T) -> Response<Bytes> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut reply = Response::new(Bytes::from(bytes));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert("content-type", warp::http::HeaderValue::from_static("application/json"));
    reply
}

/// Answers with `status` and a JSON error body that holds `message`.
pub fn status_reply(status: StatusCode, message: &str) -> Response<Bytes> {
    json_reply(status, &serde_json::json!({ "error": { "message": message } }))
}

/// Answers 400 with `message`.
pub fn bad_request(message: &str) -> Response<Bytes> {
    status_reply(StatusCode::BAD_REQUEST, message)
}

/// Turns every rejection into a 404.
pub(crate) async fn not_found(_: warp::Rejection) -> Result<Response<Bytes>, Infallible> {
    Ok(status_reply(StatusCode::NOT_FOUND, "no such call"))
}
