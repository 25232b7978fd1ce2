//! What was learnt of all routers at one moment.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use futures_util::future::join_all;
use serde::Serialize;

use crate::backend::RouterClient;
use crate::wire::WireStatus;

plain! {
    /// What was learnt of all routers at one moment.
    #[derive(Default, Serialize)]
    pub struct FleetStatus {
        /// Routers that answered, by name.
        pub routers: BTreeMap<String, WireStatus>,
        /// Why the others did not, by name.
        pub unreachable: BTreeMap<String, String>,
    }
}

impl FleetStatus {
    /// Asks all `routers`, given by name and control address.
    pub async fn poll(client: &RouterClient, routers: &[(String, SocketAddr)]) -> FleetStatus {
        let answers = join_all(routers.iter().map(|it| client.status(it.1))).await;
        let mut look = FleetStatus::default();
        for ((name, _), answer) in routers.iter().zip(answers) {
            match answer {
                Ok(it) => drop(look.routers.insert(name.clone(), it)),
                Err(e) => drop(look.unreachable.insert(name.clone(), e.to_string())),
            }
        }
        look
    }
}
