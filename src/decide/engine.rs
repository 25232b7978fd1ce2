//! An engine as placement sees it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// One candidate.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Hash of the name; the same on every router.
    pub id: u64,
    /// Changes at each start of the engine.
    pub incarnation: u64,
    /// Share of work relative to others; above 0.
    pub weight: f64,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Tokens that it last reported to have.
    pub reported: u64,
    /// Tokens that this router has in flight there.
    pub sent: Arc<AtomicU64>,
}

impl Engine {
    /// Estimated load in tokens, relative to the weight.
    pub fn load(&self) -> f64 {
        let tokens = self.reported.max(self.sent.load(Ordering::Relaxed));
        tokens as f64 / self.weight
    }
}
