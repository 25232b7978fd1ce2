//! Answers to callers who ask which address to use.

use std::net::SocketAddr;

wire! {
    /// One address.
    pub struct EntryAddress {
        /// Where to connect.
        pub address: SocketAddr,
        /// Name of the router.
        pub router: String,
        /// Its failure domain.
        pub domain: String,
    }

    /// Addresses in the order in which to try them.
    pub struct EntryAnswer {
        /// The addresses.
        pub addresses: Vec<EntryAddress>,
        /// How long to keep this answer, in seconds.
        pub ttl_s: u64,
    }
}
