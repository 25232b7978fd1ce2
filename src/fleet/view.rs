//! The view of the fleet at one moment.

use std::collections::HashMap;
use std::sync::Arc;

use crate::fleet::{Pool, Router};
use crate::state::InForce;

/// What a router knows of the fleet at one moment.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Whether any state is in force.
    pub ready: bool,
    /// The state in force.
    pub state: Arc<InForce>,
    /// Backend servers by pool name.
    pub pools: HashMap<String, Pool>,
    /// Routers, including this one.
    pub routers: Vec<Router>,
}
