//! Versions of the software of backend servers.

use std::fmt;
use std::sync::Arc;

use crate::decide::hash_bytes;

/// Version of a backend server's software. Versions have no order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Hash of the version, equal at all routers.
    pub fn key(&self) -> u64 {
        hash_bytes(self.0.as_bytes())
    }

    /// Its text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for SoftwareVersion {
    fn from(text: &str) -> SoftwareVersion {
        SoftwareVersion(text.into())
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
