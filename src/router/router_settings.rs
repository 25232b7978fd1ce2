//! Settings of a router.

use std::net::SocketAddr;
use std::time::Duration;

use crate::intake::IntakeLimits;
use crate::relay::RelayLimits;

plain! {
    /// Settings of one router.
    pub struct RouterSettings {
        /// Name of the instance.
        pub name: String,
        /// Failure domain.
        pub domain: String,
        /// Address for requests of callers.
        pub callers: SocketAddr,
        /// Address for the platform's readiness probes.
        pub ready: SocketAddr,
        /// Address where callers request the list of addresses to use.
        pub entry: SocketAddr,
        /// Address for messages of other routers.
        pub peers: SocketAddr,
        /// Address where metrics are scraped.
        pub metrics: SocketAddr,
        /// Time from the termination signal to the kill.
        pub grace: Duration,
        /// How long callers keep the list of addresses.
        pub entry_ttl: Duration,
        /// Limits of the request path.
        pub limits: RelayLimits,
        /// Limits on what is held for clients.
        pub intake: IntakeLimits,
    }
}
