//! What a backend server tells of itself.

use std::net::SocketAddr;
use std::time::Duration;

key! {
    /// Whether a backend server takes new work.
    pub enum Standing {
        /// It takes new work.
        Ready,
        /// It finishes what it has and leaves.
        Leaving,
    }
}

plain! {
    /// The newest record of a backend server.
    pub struct ServerRecord {
        /// Service that it belongs to.
        pub service: String,
        /// Where it listens.
        pub address: SocketAddr,
        /// Failure domain.
        pub domain: String,
        /// Requests that run at once.
        pub slots: u32,
        /// Whether it takes new work.
        pub standing: Standing,
        /// How much longer it is slow after its start.
        pub warm_up: Duration,
        /// When it started, in milliseconds since 1970; tells incarnations of one id apart.
        pub born: u64,
        /// Rises with each record of one incarnation.
        pub sequence: u64,
    }
}

impl ServerRecord {
    /// Whether `self` was written after `other`.
    pub fn follows(&self, other: &ServerRecord) -> bool {
        (self.born, self.sequence) > (other.born, other.sequence)
    }
}
