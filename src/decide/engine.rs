//! What placement knows about an engine.

use std::sync::Arc;

use crate::decide::SentTokens;

/// An engine that a request may be placed on.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Hash of the name; the same on every router.
    pub id: u64,
    /// Changes at each start of the engine.
    pub incarnation: u64,
    /// Share of work relative to other engines; above 0.
    pub weight: f64,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Load in tokens, as the engine last reported it.
    pub reported: u64,
    /// Tokens that this router has sent to it.
    pub sent: Arc<SentTokens>,
}

impl Engine {
    /// Estimated load in tokens: the last reported load and what this router has sent
    /// that the report cannot contain.
    pub fn tokens(&self) -> u64 {
        self.reported + self.sent.unreported()
    }

    /// Load in tokens divided by the weight: the larger of the reported load and what
    /// this router has in flight.
    pub fn load(&self) -> f64 {
        let tokens = self.reported.max(self.sent.in_flight());
        tokens as f64 / self.weight
    }
}
