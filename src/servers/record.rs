//! Records that backend servers publish of themselves.

use std::net::SocketAddr;
use std::time::Duration;

use crate::servers::SoftwareVersion;
use crate::wire::WireServer;

key! {
    /// Whether a backend server takes new work.
    pub enum ServerState {
        /// It takes new work.
        Ready,
        /// It drains and then leaves.
        Leaving,
    }
}

plain! {
    /// The newest record of a backend server.
    pub struct ServerRecord {
        /// Service that it belongs to.
        pub service: String,
        /// Version of its software.
        pub software: SoftwareVersion,
        /// Where it listens.
        pub address: SocketAddr,
        /// Failure domain.
        pub domain: String,
        /// Requests that run at once.
        pub slots: u32,
        /// Whether it takes new work.
        pub state: ServerState,
        /// Remaining time of its slow start.
        pub warm_up: Duration,
        /// When it started, in milliseconds since 1970; distinguishes incarnations of one id.
        pub born: u64,
        /// Increases with each record of one incarnation.
        pub sequence: u64,
    }
}

impl From<&ServerRecord> for WireServer {
    fn from(it: &ServerRecord) -> WireServer {
        WireServer {
            service: it.service.clone(),
            address: it.address,
            domain: it.domain.clone(),
            slots: it.slots,
            leaving: it.state == ServerState::Leaving,
            warm_up_ms: it.warm_up.as_millis() as u64,
            born: it.born,
            sequence: it.sequence,
        }
    }
}

/// A record and the software version, which follows separately on the wire.
impl From<(WireServer, SoftwareVersion)> for ServerRecord {
    fn from((it, software): (WireServer, SoftwareVersion)) -> ServerRecord {
        ServerRecord {
            software,
            service: it.service,
            address: it.address,
            domain: it.domain,
            slots: it.slots,
            state: if it.leaving { ServerState::Leaving } else { ServerState::Ready },
            warm_up: Duration::from_millis(it.warm_up_ms),
            born: it.born,
            sequence: it.sequence,
        }
    }
}

impl ServerRecord {
    /// Whether `self` was written after `other`.
    pub fn is_newer_than(&self, other: &ServerRecord) -> bool {
        (self.born, self.sequence) > (other.born, other.sequence)
    }

    /// Whether `self` equals `other`, a former record of the same incarnation, except
    /// for the sequence number and a remaining warm-up time that has decreased.
    pub fn is_heartbeat_after(&self, other: &ServerRecord) -> bool {
        let sequence = self.sequence;
        let warm_up = self.warm_up.min(other.warm_up);
        *self == ServerRecord { sequence, warm_up, ..other.clone() }
    }
}
