//! One line of the instance list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What an instance does.
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

/// Whether an instance stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// Takes work.
    Live,
    /// Finishes what it has and goes.
    Leaving,
}

/// One instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Unique name.
    pub name: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Address for control calls between routers; absent for others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control: Option<SocketAddr>,
    /// Failure domain.
    pub domain: String,
    /// What it does.
    pub role: Role,
    /// Pool that it belongs to, such as `assistant-llm`.
    pub pool: String,
    /// Whether it stays.
    pub standing: InstanceState,
}
