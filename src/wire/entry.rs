//! Response to callers that request the addresses of routers.

use std::net::SocketAddr;

wire! {
    /// Address of one router.
    pub struct EntryAddress {
        /// Where to connect.
        pub address: SocketAddr,
        /// Name of the router.
        pub router: String,
        /// Its failure domain.
        pub domain: String,
    }

    /// Addresses of routers, in the order in which callers should try them.
    pub struct EntryAnswer {
        /// The addresses, best first.
        pub addresses: Vec<EntryAddress>,
        /// How long callers may cache this response, in seconds.
        pub ttl_s: u64,
    }
}
