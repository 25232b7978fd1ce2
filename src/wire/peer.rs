//! Messages between routers of the platform: liveness, requests in flight at backend
//! servers, and changes of backend servers.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::wire::{WireCrash, WirePartNews};

/// Size of one packed load in bytes.
const LOAD_BYTES: usize = 7;
/// Units of a packed load that stand for one good result.
const GOOD_UNITS: f64 = 4.0;
/// Units of a packed load that stand for one bad result.
const BAD_UNITS: f64 = 8.0;

plain! {
    /// Load and recent results of one router at one backend server.
    #[derive(Copy)]
    pub struct ServerLoad {
        /// Lower half of the hash of the server's id.
        pub server: u32,
        /// Requests in flight, at most 255.
        pub in_flight: u8,
        /// Number of successful requests, older ones weighted less; at most 63.
        pub good: f64,
        /// Number of failed requests, weighted likewise; at most 31.
        pub bad: f64,
    }
}

/// Packs loads into seven bytes each: hash, requests in flight, good results in
/// quarters, bad ones in eighths. Compact because loads make up most of a message.
pub fn pack_loads(loads: impl IntoIterator<Item = ServerLoad>) -> Vec<u8> {
    let mut bytes = Vec::new();
    for it in loads {
        bytes.extend(it.server.to_le_bytes());
        bytes.push(it.in_flight);
        // The conversions from f64 to u8 saturate.
        bytes.push((it.good * GOOD_UNITS).round() as u8);
        bytes.push((it.bad * BAD_UNITS).round() as u8);
    }
    bytes
}

/// Decodes the output of [`pack_loads`]; an incomplete load at the end is skipped.
pub fn unpack_loads(bytes: &[u8]) -> impl Iterator<Item = ServerLoad> {
    bytes.chunks_exact(LOAD_BYTES).map(|it| ServerLoad {
        server: u32::from_le_bytes([it[0], it[1], it[2], it[3]]),
        in_flight: it[4],
        good: f64::from(it[5]) / GOOD_UNITS,
        bad: f64::from(it[6]) / BAD_UNITS,
    })
}

wire! {
    /// Identity of a router process.
    pub struct WireRouter {
        /// Its name.
        pub name: String,
        /// Address for callers.
        pub callers: SocketAddr,
        /// Address for other routers.
        pub peers: SocketAddr,
        /// Failure domain.
        pub domain: String,
        /// When its process started, in milliseconds since 1970.
        pub born: u64,
    }

    /// What a router last reported about itself.
    pub struct WireObservation {
        /// The router.
        pub router: WireRouter,
        /// Whether callers may be sent to it.
        pub ready: bool,
        /// Whether it is shutting down.
        pub leaving: bool,
        /// Age of the report in milliseconds.
        pub age_ms: u64,
    }

    /// A message between routers, and likewise the reply.
    pub struct WireExchange {
        /// The sender's report about itself, of age 0.
        pub own: WireObservation,
        /// Reports about other routers that the sender knows.
        pub others: Vec<WireObservation>,
        /// The sender's loads at backend servers, packed by [`pack_loads`].
        #[serde(with = "serde_bytes")]
        pub loads: Vec<u8>,
        /// Backend servers that crashed while they ran a request.
        pub crashes: Vec<WireCrash>,
        /// Version of the rules in force at the sender, and how long ago they were
        /// confirmed, in milliseconds.
        pub rules: Option<(u64, u64)>,
    }

    /// News that follow a [`WireExchange`]. Fields that a router does not know are skipped, empty
    /// ones are left out.
    #[derive(Default)]
    #[serde(default)]
    pub struct WireNews {
        /// Parts of prompts that may crash backend servers.
        #[serde(skip_serializing_if = "WirePartNews::is_empty")]
        pub parts: WirePartNews,
        /// Limits of requests that backend servers named, or named no longer.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub limits: Vec<WireServerLimit>,
        /// Backend servers that say that they leave.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub leaving: Vec<WireServerLeaving>,
        /// Software versions of the services that have several.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub software: Vec<WireSeenSoftware>,
        /// Hashes of the names of services whose backend servers the sender does not reach.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub cut_off: Vec<u64>,
        /// When the sender last knew other routers to be alive, packed by
        /// [`pack_sightings`](crate::wire::pack_sightings).
        #[serde(with = "serde_bytes", skip_serializing_if = "Vec::is_empty")]
        pub sightings: Vec<u8>,
        /// Exchanges with other routers that failed.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub failures: Vec<WirePeerFailure>,
        /// Requests for services that are short of room.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub demand: Vec<WireDemand>,
        /// The sender's tokens at the backend servers at which it has requests in flight, packed
        /// by [`pack_tokens`](crate::wire::pack_tokens).
        #[serde(with = "serde_bytes", skip_serializing_if = "Vec::is_empty")]
        pub tokens: Vec<u8>,
        /// What backend servers lately reported of their pace to the sender, packed by
        /// [`pack_paces`](crate::wire::pack_paces).
        #[serde(with = "serde_bytes", skip_serializing_if = "Vec::is_empty")]
        pub paces: Vec<u8>,
        /// Evacuated failure domains; absent while none is known and none was until lately.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub evacuations: Option<WireEvacuations>,
    }

    /// Failure domains that operators have evacuated, as of a position in their records.
    pub struct WireEvacuations {
        /// Names of the domains.
        pub domains: Vec<String>,
        /// Position of the next record.
        pub position: WirePosition,
    }

    /// Requests of the last seconds for a service that is short of room: hash of its name, and
    /// the requests by rank.
    pub struct WireDemand(pub u64, pub Vec<WireRankDemand>);

    /// Requests of one rank: the rank, how many asked for room, and how many of them got none,
    /// older ones weighted less.
    pub struct WireRankDemand(pub u8, pub f32, pub f32);

    /// An exchange with a process of a router that failed: hash of the router's name, when the
    /// process started, whether the connection was refused, and how long ago in milliseconds.
    pub struct WirePeerFailure(pub u64, pub u64, pub bool, pub u64);

    /// What a backend server last said of its limit: hash of its incarnation, requests a
    /// second if it has a limit, and how long ago in milliseconds.
    pub struct WireServerLimit(pub u64, pub Option<f64>, pub u64);

    /// A backend server that said that it leaves: hash of its incarnation, and how long ago in
    /// milliseconds.
    pub struct WireServerLeaving(pub u64, pub u64);

    /// A software version that served: name of the service, key of the version, and how long ago
    /// in milliseconds.
    pub struct WireSeenSoftware(pub String, pub u64, pub u64);

    /// The software versions that began streams.
    pub struct WireStreamOrigins {
        pub origins: Vec<WireStreamOrigin>,
    }

    /// Hash of the id of the attempt that brought the first event of a stream, key of the software
    /// version, and how long the caller still waits in milliseconds.
    pub struct WireStreamOrigin(pub u64, pub u64, pub u32);

    /// Question about a stream: hash of the id of the attempt that brought the first event, and
    /// name of the service.
    pub struct WireOriginQuery(pub u64, pub String);

    /// Reply to a [`WireOriginQuery`].
    pub struct WireOriginReply {
        /// Key of the software version that began the stream, if it is known.
        pub software: Option<u64>,
        /// Software versions of the service.
        pub service: WireServiceSoftware,
        /// When the process that replies started, in milliseconds since 1970; absent from routers
        /// of earlier versions.
        #[serde(default)]
        pub born: Option<u64>,
    }

    /// Software versions that served in a service lately.
    pub enum WireServiceSoftware {
        /// None was seen.
        None,
        /// Key of the only one.
        One(u64),
        /// Several.
        Several,
    }

    /// Request for changes of backend servers.
    pub struct WireServersRequest {
        /// Table whose revision `stamp` is; another table answers with all servers.
        pub epoch: u64,
        /// Revision up to which changes are known.
        pub stamp: u64,
    }

    /// Changes of backend servers.
    pub struct WireServers {
        /// Table whose revision `stamp` is.
        pub epoch: u64,
        /// Revision of the last change.
        pub stamp: u64,
        /// Whether the list is complete: servers that are not listed do not exist.
        pub whole: bool,
        /// How long ago the sender last read the records of the store, in milliseconds; absent
        /// when it never did.
        pub age_ms: Option<u64>,
        /// Changed servers by id; those without a record were removed.
        pub rows: Vec<(String, Option<WireServer>)>,
    }

    /// What follows a [`WireServers`]. Fields that a router does not know are skipped.
    #[derive(Default)]
    #[serde(default)]
    pub struct WireServersAddition {
        /// Software versions of the servers, by their ids.
        pub versions: HashMap<String, String>,
        /// What the list was read up to in the store; absent from routers of earlier versions.
        pub position: Option<WirePosition>,
        /// Keys of the software versions of services that are registered in the store.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub registered: Vec<u64>,
    }

    /// Position in the records of the store: how often the store was restored, if it tells, and
    /// the number of the next record.
    pub struct WirePosition(pub Option<u64>, pub u64);

    /// Record of a backend server, without its software version.
    pub struct WireServer {
        /// Service that it belongs to.
        pub service: String,
        /// Address on which it listens.
        pub address: SocketAddr,
        /// Failure domain.
        pub domain: String,
        /// Number of requests that it runs concurrently.
        pub slots: u32,
        /// Whether it accepts no new work.
        pub leaving: bool,
        /// Remaining time for which it is slow after its start, in milliseconds.
        pub warm_up_ms: u64,
        /// When it started, in milliseconds since 1970.
        pub born: u64,
        /// Increases with each record of the same incarnation.
        pub sequence: u64,
    }
}

impl WireNews {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
            && self.limits.is_empty()
            && self.leaving.is_empty()
            && self.software.is_empty()
            && self.cut_off.is_empty()
            && self.sightings.is_empty()
            && self.failures.is_empty()
            && self.demand.is_empty()
            && self.tokens.is_empty()
            && self.paces.is_empty()
            && self.evacuations.is_none()
    }
}
