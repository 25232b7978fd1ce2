//! Entries of the platform's instance list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

key! {
    /// Role of an instance.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Role {
        /// Runs a model.
        Engine,
        /// Runs a service that is not a model.
        Service,
        /// Runs a router.
        Entry,
    }

    /// Whether an instance accepts new work.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum InstanceState {
        /// Accepts new work.
        Live,
        /// Finishes its requests, then stops.
        Leaving,
    }
}

wire! {
    /// One instance of the list.
    pub struct Instance {
        /// Unique name.
        pub name: String,
        /// Address for requests.
        pub address: SocketAddr,
        /// Address for control calls; routers only.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub control: Option<SocketAddr>,
        /// Failure domain.
        pub domain: String,
        /// Its role.
        pub role: Role,
        /// Pool that it belongs to.
        pub pool: String,
        /// Whether it accepts new work.
        pub standing: InstanceState,
    }
}
