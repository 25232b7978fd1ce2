//! What a router is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

use crate::relay::RelayLimits;

plain! {
    /// Settings of one router.
    pub struct RouterSettings {
        /// Name of the instance.
        pub name: String,
        /// Failure domain.
        pub domain: String,
        /// Where callers send requests.
        pub callers: SocketAddr,
        /// Where the platform asks whether the router is ready.
        pub ready: SocketAddr,
        /// Where callers ask which addresses to use.
        pub entry: SocketAddr,
        /// Where other routers connect.
        pub peers: SocketAddr,
        /// Where metrics are read.
        pub metrics: SocketAddr,
        /// Time from the signal to stop to the kill.
        pub grace: Duration,
        /// How long callers keep the addresses.
        pub entry_ttl: Duration,
        /// Bounds on passing requests on.
        pub limits: RelayLimits,
    }
}
