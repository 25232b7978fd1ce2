//! How the end of an answer's body is marked.

use hyper::Response;
use hyper::body::{Body, Incoming};
use hyper::header::TRANSFER_ENCODING;

key! {
    /// How a receiver tells where a body ends (RFC 9112, section 6.3).
    pub enum Framing {
        /// After the number of bytes that the head announces, possibly none.
        Length,
        /// With the last chunk.
        Chunked,
        /// With the connection. A body that broke off may look complete.
        Close,
    }
}

impl Framing {
    /// The framing of an answer whose head was just read.
    pub fn of(response: &Response<Incoming>) -> Framing {
        if response.body().size_hint().exact().is_some() {
            Framing::Length
        } else if response.headers().contains_key(TRANSFER_ENCODING) {
            Framing::Chunked
        } else {
            Framing::Close
        }
    }

    /// Name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunked => "chunked",
            Framing::Close => "close",
        }
    }
}
