//! Errors at the start of a router.

use std::fmt;
use std::net::SocketAddr;

/// Why a router cannot start.
#[derive(Debug)]
pub enum RouterError {
    /// An address cannot be bound.
    Bind(SocketAddr),
    /// Clients, counters or signals cannot be set up.
    SetUp,
}

impl fmt::Display for RouterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RouterError::Bind(address) => write!(f, "cannot listen on {address}"),
            RouterError::SetUp => f.write_str("cannot set up clients, counters or signals"),
        }
    }
}

impl std::error::Error for RouterError {}
