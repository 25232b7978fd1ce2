//! What routers tell each other besides tickets: that they live, and where
//! their requests are.

use std::net::SocketAddr;

use crate::wire::WireCrash;

/// Bytes of one packed load.
const LOAD_BYTES: usize = 7;
/// Steps of a whole good result in a packed load.
const GOOD_STEPS: f64 = 4.0;
/// Steps of a whole bad result in a packed load.
const BAD_STEPS: f64 = 8.0;

plain! {
    /// What a router has at one backend server.
    #[derive(Copy)]
    pub struct ServerLoad {
        /// Hash of the server's id; the lower half is told.
        pub server: u32,
        /// Requests in flight, 255 at most.
        pub in_flight: u8,
        /// Requests that went well, older ones counting less; 63 at most.
        pub good: f64,
        /// Requests that did not; 31 at most.
        pub bad: f64,
    }
}

/// Packs loads into seven bytes each, as they are most of a message: hash, requests
/// in flight, good results in quarters, bad ones in eighths.
pub fn pack_loads(loads: impl IntoIterator<Item = ServerLoad>) -> Vec<u8> {
    let mut bytes = Vec::new();
    for it in loads {
        bytes.extend(it.server.to_le_bytes());
        bytes.push(it.in_flight);
        // Conversions to bytes saturate.
        bytes.push((it.good * GOOD_STEPS).round() as u8);
        bytes.push((it.bad * BAD_STEPS).round() as u8);
    }
    bytes
}

/// Reads what [`pack_loads`] wrote; an incomplete end is left out.
pub fn unpack_loads(bytes: &[u8]) -> impl Iterator<Item = ServerLoad> {
    bytes.chunks_exact(LOAD_BYTES).map(|it| ServerLoad {
        server: u32::from_le_bytes([it[0], it[1], it[2], it[3]]),
        in_flight: it[4],
        good: f64::from(it[5]) / GOOD_STEPS,
        bad: f64::from(it[6]) / BAD_STEPS,
    })
}

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
    pub struct WireObservation {
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
        pub own: WireObservation,
        /// The other routers that the sender knows.
        pub others: Vec<WireObservation>,
        /// What the sender has at backend servers, packed: see [`pack_loads`].
        #[serde(with = "serde_bytes")]
        pub loads: Vec<u8>,
        /// Backend servers that died while they ran a request.
        pub crashes: Vec<WireCrash>,
        /// Version of the rules in force at the sender, and how long ago they were
        /// confirmed, in milliseconds.
        pub rules: Option<(u64, u64)>,
    }

    /// Asks for changes of backend servers.
    pub struct WireServersRequest {
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
