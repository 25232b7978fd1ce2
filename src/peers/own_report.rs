//! What a router tells others of itself.

use crate::wire::WireCrash;

/// What a router tells others of itself.
#[derive(Debug, Clone, Default)]
pub struct OwnReport {
    /// Whether callers may be sent to it.
    pub ready: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Its loads at backend servers, packed.
    pub loads: Vec<u8>,
    /// Backend servers that crashed while they ran a request.
    pub crashes: Vec<WireCrash>,
    /// Version of the rules in force, and how long ago they were confirmed in milliseconds.
    pub rules: Option<(u64, u64)>,
}
