//! How requests and answers look on the wire.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::http::request::Parts;

use crate::relay::{AnswerHead, RequestMeta, RequestMetaError};

plain! {
    /// What the router adds to a request.
    pub struct OutgoingMeta<'a> {
        /// Id of the backend server that is meant; any other refuses the request.
        pub server: &'a str,
        /// Name of the caller's organisation.
        pub organisation: Option<&'a str>,
        /// Time left.
        pub remaining: Duration,
        /// Rank, 0 first.
        pub priority: u8,
        /// Another backend server that can hand over the cached prefix.
    pub source: Option<SocketAddr>,
    /// Event after which a broken stream goes on.
        pub last_event: Option<&'a str>,
    }
}

/// Translates heads; plain functions, so that each deployment has its own names.
#[derive(Debug, Clone, Copy)]
pub struct Codec {
    /// Reads the head of a request.
    pub request_meta: fn(&Parts) -> Result<RequestMeta, RequestMetaError>,
    /// Turns a caller's headers into those for a backend server.
    pub outgoing: fn(&mut HeaderMap, &OutgoingMeta<'_>),
    /// Reads the head of an answer.
    pub answer: fn(&HeaderMap) -> AnswerHead,
}
