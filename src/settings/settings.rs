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
        /// Token that peers and operators show.
        pub token: String,
        /// Address of the platform's log service.
        pub log: SocketAddr,
        /// Address of the platform's instance list.
        pub list: SocketAddr,
        /// Other routers to ask first while the list is down.
        #[serde(default)]
        pub seeds: Vec<Seed>,
        /// Limits on what callers send.
        #[serde(default)]
        pub limits: Limits,
        /// How requests are carried.
        #[serde(default)]
        pub traffic: Traffic,
        /// Who may send work when there is not enough room.
        #[serde(default)]
        pub admission: Admission,
        /// How requests are placed.
        #[serde(default)]
        pub routing: Routing,
        /// How state is kept up to date.
        #[serde(default, rename = "state")]
        pub state_sync: StateSync,
        /// How events are kept.
        #[serde(default)]
        pub events: Events,
        /// Calls that may not be repeated.
        #[serde(default)]
        pub once: Once,
        /// Orders to engines.
        #[serde(default)]
        pub orders: Orders,
        /// Requests that crash backend servers.
        #[serde(default)]
        pub crashes: Crashes,
        /// Secret keys: the first signs, all verify.
        #[serde(default)]
        pub keys: Vec<FleetKey>,
    }

    /// A router known beforehand.
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Seed {
        /// Its name.
        pub name: String,
        /// Its control address.
        pub control: SocketAddr,
    }
}
