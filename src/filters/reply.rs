//! Reading of complete answers from backend servers.

use bytes::{Bytes, BytesMut};
use reqwest::header::TRANSFER_ENCODING;

use crate::decide::FailurePoint;
use crate::filters::failure::Failure;

/// Maximum bytes reserved for an answer because of its announced length.
const MAX_INITIAL_RESERVE: u64 = 64 * 1_024;

/// Reads a complete answer of at most `max_bytes` bytes.
///
/// The HTTP client checks the length or the chunk marks. An answer with neither
/// counts as incomplete, as a truncated one would look the same.
pub(crate) async fn read_complete(
    mut reply: reqwest::Response,
    max_bytes: u64,
) -> Result<Bytes, Failure> {
    let length = reply.content_length();
    if length.is_none() && !reply.headers().contains_key(TRANSFER_ENCODING) {
        let message = "the answer has neither a content length nor chunked encoding";
        return Err(Failure::new(FailurePoint::Body, message));
    }
    let too_long = || {
        let message = format!("the answer is longer than {max_bytes} bytes");
        Failure::new(FailurePoint::Mismatch, message)
    };
    if length.is_some_and(|it| it > max_bytes) {
        return Err(too_long());
    }
    let mut first = next_piece(&mut reply).await?.unwrap_or_default();
    let Some(mut piece) = next_piece(&mut reply).await? else {
        return if first.len() as u64 > max_bytes { Err(too_long()) } else { Ok(first) };
    };
    let reserve = length.unwrap_or(0).min(MAX_INITIAL_RESERVE) as usize;
    let mut body = BytesMut::with_capacity(reserve.max(first.len() + piece.len()));
    loop {
        body.extend_from_slice(&std::mem::take(&mut first));
        body.extend_from_slice(&piece);
        if body.len() as u64 > max_bytes {
            return Err(too_long());
        }
        match next_piece(&mut reply).await? {
            Some(it) => piece = it,
            None => return Ok(body.freeze()),
        }
    }
}

async fn next_piece(reply: &mut reqwest::Response) -> Result<Option<Bytes>, Failure> {
    reply.chunk().await.map_err(|e| Failure::of_body(&e))
}
