//! The right to be at a pool's engines.

use std::sync::Arc;

use crate::admission::PoolLimiter;

/// The right to be at a pool's engines; given back when dropped.
#[derive(Debug)]
pub struct Permit {
    gate: Option<Arc<PoolLimiter>>,
    cost: u64,
}

impl Permit {
    /// A pass of `gate` for a request of `cost` tokens.
    pub(crate) fn new(gate: Arc<PoolLimiter>, cost: u64) -> Permit {
        Permit { gate: Some(gate), cost }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(gate) = self.gate.take() {
            gate.leave(self.cost);
        }
    }
}
