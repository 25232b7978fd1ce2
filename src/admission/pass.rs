//! The right to be at a pool's engines.

use std::sync::Arc;

use crate::admission::Gate;

/// The right to be at a pool's engines; given back when dropped.
#[derive(Debug)]
pub struct Pass {
    gate: Option<Arc<Gate>>,
    cost: u64,
}

impl Pass {
    /// A pass of `gate` for a request of `cost` tokens.
    pub(crate) fn new(gate: Arc<Gate>, cost: u64) -> Pass {
        Pass { gate: Some(gate), cost }
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        if let Some(gate) = self.gate.take() {
            gate.leave(self.cost);
        }
    }
}
