//! Versions of the software of backend servers.

use std::fmt;
use std::sync::Arc;

use crate::decide::hash_bytes;

/// Version of a backend server's software. Versions have no order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SoftwareVersion {
    text: Arc<str>,
    /// Hash of `text`.
    key: u64,
}

impl SoftwareVersion {
    /// Hash of the version, equal at all routers.
    pub fn key(&self) -> u64 {
        self.key
    }

    /// Its text.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl From<&str> for SoftwareVersion {
    fn from(text: &str) -> SoftwareVersion {
        SoftwareVersion { text: text.into(), key: hash_bytes(text.as_bytes()) }
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}
