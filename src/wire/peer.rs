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

    /// What a router has at one backend server.
    #[derive(Copy)]
    pub struct WireServerLoad(
        /// Hash of the server's id.
        pub u64,
        /// Requests in flight.
        pub u32,
        /// Requests that went well, older ones counting less.
        pub f32,
        /// Requests that did not.
        pub f32,
    );

    /// One message, and its answer.
    pub struct WireExchange {
        /// The sender, of age 0.
        pub own: WireSeen,
        /// The other routers that the sender knows.
        pub others: Vec<WireSeen>,
        /// What the sender has at backend servers.
        pub loads: Vec<WireServerLoad>,
        /// Backend servers that died while they ran a request.
        pub crashes: Vec<WireCrash>,
        /// Version of the rules in force at the sender, and how long ago they were
        /// confirmed, in milliseconds.
        pub rules: Option<(u64, u64)>,
    }

    /// Asks for changes of backend servers.
    pub struct WireServersAsk {
        /// Process whose stamps are meant; any other answers with all.
        pub epoch: u64,
        /// Changes up to this stamp are known.
        pub stamp: u64,
    }

    /// Changes of backend servers.
    pub struct WireServers {
        /// Process whose stamps are meant.
        pub epoch: u64,
        /// Stamp of the last change.
        pub stamp: u64,
        /// Servers that are not listed do not exist.
        pub whole: bool,
        /// How long ago the sender read the records, in milliseconds; absent when it never did.
        pub age_ms: Option<u64>,
        /// Servers by id; without a record they are gone.
        pub rows: Vec<(String, Option<WireServer>)>,
    }

    /// A backend server.
    pub struct WireServer {
        /// Service that it belongs to.
        pub service: String,
        /// Where it listens.
        pub address: SocketAddr,
        /// Failure domain.
        pub domain: String,
        /// Requests that run at once.
        pub slots: u32,
        /// It takes no new work.
        pub leaving: bool,
        /// How much longer it is slow after its start.
        pub warm_up_ms: u64,
        /// When it started, in milliseconds since 1970.
        pub born: u64,
        /// Rises with each record of one incarnation.
        pub sequence: u64,
    }
}
