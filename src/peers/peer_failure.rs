//! Exchanges with other routers that failed, as routers tell each other.

use std::time::Instant;

use crate::wire::{WirePeerFailure, age_ms, time_of_age};

key! {
    /// How an exchange failed.
    pub enum FailureKind {
        /// The connection was refused: the process is gone.
        Refused,
        /// There was no answer in time, or the connection broke.
        Unreached,
    }

    /// An exchange with a process of a router that failed.
    pub struct PeerFailure {
        /// Hash of the router's name.
        pub router: u64,
        /// When the process started, in milliseconds since 1970.
        pub born: u64,
        /// How it failed.
        pub kind: FailureKind,
        /// When it failed.
        pub at: Instant,
    }
}

impl PeerFailure {
    /// The form for other routers.
    pub fn to_wire(self, now: Instant) -> WirePeerFailure {
        let is_refused = self.kind == FailureKind::Refused;
        WirePeerFailure(self.router, self.born, is_refused, age_ms(self.at, now))
    }

    /// What another router told; `None` if its time cannot be.
    pub fn from_wire(wire: WirePeerFailure, now: Instant) -> Option<PeerFailure> {
        let WirePeerFailure(router, born, is_refused, age) = wire;
        let kind = if is_refused { FailureKind::Refused } else { FailureKind::Unreached };
        Some(PeerFailure { router, born, kind, at: time_of_age(age, now)? })
    }
}
