//! Limits on what callers send.

use std::time::Duration;

use bytesize::ByteSize;
use serde::Deserialize;

plain! {
    /// Limits on what callers send.
    #[derive(Deserialize)]
    #[serde(default, deny_unknown_fields)]
    pub struct Limits {
        /// Largest body of a request.
        pub body: ByteSize,
        /// Largest head of a request.
        pub head: ByteSize,
        /// Time for a caller to send a whole request.
        #[serde(with = "humantime_serde")]
        pub receive: Duration,
        /// Largest whole answer, or event of a stream, of a backend server.
        pub answer: ByteSize,
        /// Longest time that a caller may take nothing of its answer.
        #[serde(with = "humantime_serde")]
        pub send: Duration,
        /// Most open connections of callers.
        pub connections: usize,
        /// Most open connections from one address.
        pub address_connections: usize,
        /// Most messages in one conversation.
        pub messages: usize,
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body: ByteSize::mib(1),
            head: ByteSize::kib(16),
            receive: Duration::from_secs(10),
            answer: ByteSize::mib(16),
            send: Duration::from_secs(30),
            connections: 16_384,
            address_connections: 8_192,
            messages: 4_096,
        }
    }
}
