//! How requests and answers are encoded on the wire.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::http::request::Parts;

use crate::relay::{AnswerHead, RequestMeta, RequestMetaError};

plain! {
    /// Metadata that the router adds to a request for a backend server.
    pub struct OutgoingMeta<'a> {
        /// Id of the intended backend server; any other refuses the request.
        pub server: &'a str,
        /// Name of the caller's organisation.
        pub organisation: Option<&'a str>,
        /// Time remaining until the deadline.
        pub remaining: Duration,
        /// Rank; 0 is the most urgent.
        pub priority: u8,
        /// Another backend server that can hand over the cached prefix.
        pub source: Option<SocketAddr>,
        /// Id of the event after which a broken stream resumes.
        pub last_event: Option<&'a str>,
    }
}

/// Translates heads. Plain functions, so that each deployment can use header names of its own.
#[derive(Debug, Clone, Copy)]
pub struct Codec {
    /// Reads the head of a request.
    pub request_meta: fn(&Parts) -> Result<RequestMeta, RequestMetaError>,
    /// Turns the caller's headers into those for a backend server.
    pub outgoing: fn(&mut HeaderMap, &OutgoingMeta<'_>),
    /// Sets, in the caller's headers, the time until the deadline and the id of the event after
    /// which a broken stream resumes, for a router that handles the request in place of this one.
    pub forwarded: fn(&mut HeaderMap, Duration, Option<&str>),
    /// Reads the head of an answer.
    pub answer: fn(&HeaderMap) -> AnswerHead,
}
