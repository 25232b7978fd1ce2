//! An engine as placement sees it.

use std::sync::Arc;

use crate::decide::SentTokens;

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
    /// What this router has given to it.
    pub sent: Arc<SentTokens>,
}

impl Engine {
    /// Estimated load in tokens: the last report and what this router has sent
    /// since it was made.
    pub fn tokens(&self) -> u64 {
        self.reported + self.sent.unreported()
    }

    /// Load in tokens, relative to the weight, as the larger of what is reported
    /// and what this router has in flight.
    pub fn load(&self) -> f64 {
        let tokens = self.reported.max(self.sent.in_flight());
        tokens as f64 / self.weight
    }
}
