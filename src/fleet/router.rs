//! Routers as callers and peers see them.

use std::net::SocketAddr;

plain! {
    /// A router of the fleet.
    pub struct Router {
        /// Its name.
        pub name: String,
        /// Hash of the name.
        pub id: u64,
        /// Address for callers.
        pub address: SocketAddr,
        /// Address for control calls.
        pub control: Option<SocketAddr>,
        /// Its failure domain.
        pub domain: String,
        /// Whether it takes no new callers.
        pub leaving: bool,
    }
}
