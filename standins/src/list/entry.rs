//! One entry of the instance list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Kind of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Runs a model.
    Engine,
    /// Runs a plain service.
    Service,
    /// Runs a router.
    Entry,
}

/// Whether an instance accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// Accepts requests.
    Live,
    /// Finishes its in-flight requests, then stops.
    Leaving,
}

/// One instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Unique name.
    pub name: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Address for control calls between routers; only routers have one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control: Option<SocketAddr>,
    /// Failure domain.
    pub domain: String,
    /// Kind of instance.
    pub role: Role,
    /// Pool of the instance, such as `assistant-llm`.
    pub pool: String,
    /// Whether it accepts new requests. The JSON field is `standing`.
    pub standing: InstanceState,
}
