//! All settings of one instance.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::settings::{
    Admission, Crashes, Events, FleetKey, Limits, Once, Orders, Routing, StateSync, Traffic,
};

/// The commented settings file that `filberttiller init` prints.
pub const DEFAULT_TEXT: &str = include_str!("default.jsonc");

plain! {
    /// Settings of one instance.
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Settings {
        /// Name of this instance; unique in the fleet.
        pub name: String,
        /// Failure domain of this instance.
        pub domain: String,
        /// Address for callers.
        pub listen: SocketAddr,
        /// Address for operators and other routers.
        pub control: SocketAddr,
        /// Token that peers and operators must present.
        pub token: String,
        /// Address of the platform's log service.
        pub log: SocketAddr,
        /// Address of the platform's instance list.
        pub list: SocketAddr,
        /// Other routers to contact first while the instance list is unavailable.
        #[serde(default)]
        pub seeds: Vec<Seed>,
        /// Limits on callers and on answers.
        #[serde(default)]
        pub limits: Limits,
        /// How requests are forwarded.
        #[serde(default)]
        pub traffic: Traffic,
        /// How requests are queued when engines are busy.
        #[serde(default)]
        pub admission: Admission,
        /// Placement of requests on backend servers.
        #[serde(default)]
        pub routing: Routing,
        /// How state is kept up to date.
        #[serde(default, rename = "state")]
        pub state_sync: StateSync,
        /// Event log.
        #[serde(default)]
        pub events: Events,
        /// At-most-once calls.
        #[serde(default)]
        pub once: Once,
        /// Orders to engines: what they load and unload.
        #[serde(default)]
        pub orders: Orders,
        /// Requests that crash backend servers.
        #[serde(default)]
        pub crashes: Crashes,
        /// Secret keys: the first one signs, all verify.
        #[serde(default)]
        pub keys: Vec<FleetKey>,
    }

    /// A router that is known without the instance list.
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Seed {
        /// Its name.
        pub name: String,
        /// Its control address.
        pub control: SocketAddr,
    }
}
