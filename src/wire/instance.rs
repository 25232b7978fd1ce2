//! Lines of the platform's instance list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

key! {
    /// What an instance does.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Role {
        /// Runs a model.
        Engine,
        /// Runs a plain service.
        Service,
        /// Runs a router.
        Entry,
    }

    /// Whether an instance stays.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum InstanceState {
        /// Takes work.
        Live,
        /// Finishes what it has and goes.
        Leaving,
    }
}

wire! {
    /// One instance.
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
        /// What it does.
        pub role: Role,
        /// Pool that it belongs to.
        pub pool: String,
        /// Whether it stays.
        pub standing: InstanceState,
    }
}
