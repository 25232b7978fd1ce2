//! What routers tell each other besides tickets: that they live, and where
//! their requests are.

use std::net::SocketAddr;

use crate::wire::WireCrash;

wire! {
    /// A router as it presents itself.
    pub struct WireRouter {
        /// Its name.
        pub name: String,
        /// Where callers connect.
        pub callers: SocketAddr,
        /// Where other routers connect.
        pub peers: SocketAddr,
        /// Failure domain.
        pub domain: String,
        /// When its process started, in milliseconds since 1970.
        pub born: u64,
    }

    /// What is known of a router.
    pub struct WireSeen {
        /// The router.
        pub router: WireRouter,
        /// Callers may be sent there.
        pub ready: bool,
        /// It is shutting down.
        pub leaving: bool,
        /// How long ago it said so.
        pub age_ms: u64,
    }

    /// One message, and its answer.
    pub struct WireExchange {
        /// The sender, of age 0.
        pub own: WireSeen,
        /// The other routers that the sender knows.
        pub others: Vec<WireSeen>,
        /// Requests of the sender in flight, by hash of the backend server.
        pub loads: Vec<(u64, u32)>,
        /// Backend servers that died while they ran a request.
        pub crashes: Vec<WireCrash>,
    }
}
