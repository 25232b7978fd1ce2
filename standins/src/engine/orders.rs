//! Orders: what an engine is told to load or to be.

use serde::{Deserialize, Serialize};

use crate::engine::Loaded;

/// One order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Order {
    /// Load a model version or adapter.
    Load(Loaded),
    /// Unload it.
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
    /// Fencing number; an engine that checks refuses any lower than the highest seen.
    pub fencing: u64,
    /// What to do.
    pub order: Order,
}
