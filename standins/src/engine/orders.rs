//! Orders to an engine: load or unload a model, or change its role.

use serde::{Deserialize, Serialize};

use crate::engine::Loaded;

/// One order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Order {
    /// Load a model version or adapter.
    Load(Loaded),
    /// Unload a model version or adapter.
    Unload(Loaded),
    /// Change the role of the engine.
    Role {
        /// The new role.
        role: String,
    },
}

/// Body of `POST /orders`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Fencing number. An engine that checks it refuses numbers below the highest seen.
    pub fencing: u64,
    /// The order.
    pub order: Order,
}
