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
            messages: 4_096,
        }
    }
}
