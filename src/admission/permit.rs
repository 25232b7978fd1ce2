//! Permits for requests in flight at a pool.

use std::sync::Arc;

use crate::admission::PoolLimiter;

/// Permission for one request to be in flight at a pool's engines; released when
/// dropped.
#[derive(Debug)]
pub struct Permit {
    limiter: Option<Arc<PoolLimiter>>,
    cost: u64,
}

impl Permit {
    /// A permit of `limiter` for a request of `cost` tokens.
    pub(crate) fn new(limiter: Arc<PoolLimiter>, cost: u64) -> Permit {
        Permit { limiter: Some(limiter), cost }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(limiter) = self.limiter.take() {
            limiter.release(self.cost);
        }
    }
}
