//! Reading of request bodies.

use bytes::{Buf, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use tokio::time::timeout;

use crate::filters::{Reason, Refusal};
use crate::settings::Limits;

/// Reads a complete body within the limits.
pub(crate) async fn read<B, S>(body: S, limits: &Limits) -> Result<Bytes, Refusal>
where
    B: Buf,
    S: Stream<Item = Result<B, warp::Error>>,
{
    match timeout(limits.receive, collect(body, limits.body.as_u64() as usize)).await {
        Ok(result) => result,
        Err(_) => {
            let message = format!("the request body did not arrive within {:?}", limits.receive);
            Err(Refusal::not_run(Reason::SlowCaller, message))
        }
    }
}

async fn collect<B, S>(body: S, max_bytes: usize) -> Result<Bytes, Refusal>
where
    B: Buf,
    S: Stream<Item = Result<B, warp::Error>>,
{
    let mut body = std::pin::pin!(body);
    let mut bytes = BytesMut::new();
    while let Some(piece) = body.next().await {
        let Ok(mut piece) = piece else {
            let message = "the request body ended before its full length";
            return Err(Refusal::not_run(Reason::BadRequest, message));
        };
        if bytes.len() + piece.remaining() > max_bytes {
            let message = format!("the body is longer than {max_bytes} bytes");
            return Err(Refusal::not_run(Reason::TooLarge, message));
        }
        while piece.has_remaining() {
            let chunk = piece.chunk();
            bytes.extend_from_slice(chunk);
            let length = chunk.len();
            piece.advance(length);
        }
    }
    Ok(bytes.freeze())
}
