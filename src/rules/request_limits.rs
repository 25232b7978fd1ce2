//! Bounds on what callers send.

use std::time::Duration;

plain! {
    /// What a caller may send, and how long it may take.
    pub struct RequestLimits {
        /// Longest head of a request, in bytes.
        pub head: usize,
        /// Longest body of a request, in bytes.
        pub body: usize,
        /// Time without a whole request after which a connection is closed.
        pub idle: Duration,
    }
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits { head: 16 * 1024, body: 4 * 1024 * 1024, idle: Duration::from_secs(15) }
    }
}
