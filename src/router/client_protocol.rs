//! How the router looks to callers and to the platform.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Uri;

use crate::relay::Codec;

/// The calls that the router answers itself, and the form of what it relays.
#[derive(Debug, Clone, Copy)]
pub struct ClientProtocol {
    /// Heads of requests and answers.
    pub codec: Codec,
    /// Whether a call asks if the router is ready.
    pub is_ready_request: fn(&Uri) -> bool,
    /// Whether a call asks which addresses to use.
    pub is_entry_request: fn(&Uri) -> bool,
    /// The addresses to use, and for how long.
    pub entry_body: fn(&[SocketAddr], Duration) -> Bytes,
}
