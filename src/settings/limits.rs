//! Settings of limits on callers and on answers.

use std::time::Duration;

use bytesize::ByteSize;
use serde::Deserialize;

plain! {
    /// Limits on callers and on answers.
    #[derive(Deserialize)]
    #[serde(default, deny_unknown_fields)]
    pub struct Limits {
        /// Maximum size of a request body.
        pub body: ByteSize,
        /// Maximum size of a request head.
        pub head: ByteSize,
        /// Time limit for a caller to send a complete request.
        #[serde(with = "humantime_serde")]
        pub receive: Duration,
        /// Maximum size of a complete answer, or of one event of a stream, from a backend server.
        pub answer: ByteSize,
        /// Time limit for a caller that reads nothing of its answer.
        #[serde(with = "humantime_serde")]
        pub send: Duration,
        /// Maximum number of open connections from callers.
        pub connections: usize,
        /// Maximum number of open connections from one address.
        pub address_connections: usize,
        /// Maximum number of messages in one conversation.
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
