//! Bodies of answers to callers.

use std::fmt;
use std::pin::Pin;

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;

/// Limit on the body of an answer that is read in full.
pub(crate) const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// An answer ended before it was complete. The caller's connection is cut, so
/// that the answer does not look complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayError;

impl fmt::Display for RelayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer ended before it was complete")
    }
}

impl std::error::Error for RelayError {}

/// Events of a stream, passed on as they arrive.
pub(crate) type Events = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, RelayError>> + Send>>;

/// The body of an answer: complete, or streamed as it arrives.
pub type RelayBody = Either<Full<Bytes>, StreamBody<Events>>;

/// A body that is known in full.
pub fn full_body(bytes: impl Into<Bytes>) -> RelayBody {
    Either::Left(Full::new(bytes.into()))
}
