//! Limits on callers' requests.

use std::time::Duration;

plain! {
    /// Limits on the size of requests and on the time between them.
    pub struct RequestLimits {
        /// Limit on the head of a request, in bytes.
        pub head: usize,
        /// Limit on the body of a request, in bytes.
        pub body: usize,
        /// A connection without a complete request for this long is closed.
        pub idle: Duration,
    }
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits { head: 16 * 1024, body: 4 * 1024 * 1024, idle: Duration::from_secs(15) }
    }
}
