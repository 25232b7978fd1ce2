//! Status of all routers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use futures_util::future::join_all;
use serde::Serialize;

use crate::backend::RouterClient;
use crate::wire::WireStatus;

plain! {
    /// Status of all routers at one moment.
    #[derive(Default, Serialize)]
    pub struct FleetStatus {
        /// Routers that answered, by name.
        pub routers: BTreeMap<String, WireStatus>,
        /// Why the other routers did not answer, by name.
        pub unreachable: BTreeMap<String, String>,
    }
}

impl FleetStatus {
    /// Polls all `routers`, given by name and control address.
    pub async fn poll(client: &RouterClient, routers: &[(String, SocketAddr)]) -> FleetStatus {
        let answers = join_all(routers.iter().map(|it| client.status(it.1))).await;
        let mut status = FleetStatus::default();
        for ((name, _), answer) in routers.iter().zip(answers) {
            match answer {
                Ok(it) => drop(status.routers.insert(name.clone(), it)),
                Err(e) => drop(status.unreachable.insert(name.clone(), e.to_string())),
            }
        }
        status
    }
}
