//! The HTTP forms that a router uses with callers and with the platform.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Uri;

use crate::relay::Codec;

/// How relayed messages are read and written, and which requests the router answers itself.
#[derive(Debug, Clone, Copy)]
pub struct ClientProtocol {
    /// Reads and writes the headers of relayed requests and responses.
    pub codec: Codec,
    /// Whether a request asks if the router is ready.
    pub is_ready_request: fn(&Uri) -> bool,
    /// Whether a request asks for the addresses to use.
    pub is_entry_request: fn(&Uri) -> bool,
    /// The response body with the addresses to use and how long to keep them.
    pub entry_body: fn(&[SocketAddr], Duration) -> Bytes,
}
