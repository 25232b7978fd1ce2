//! An engine as placement sees it.

use std::sync::Arc;

use crate::decide::Sent;

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
    pub sent: Arc<Sent>,
}

/// Share of what was sent between the last two reports that the last one cannot
/// hold yet.
const LATE_SHARE: f64 = 0.5;

impl Engine {
    /// Estimated load in tokens: the last report and what this router has sent
    /// since it was made.
    pub fn tokens(&self) -> f64 {
        let late = LATE_SHARE * self.sent.last_period() as f64;
        let own = self.sent.fresh() as f64 + late;
        self.reported as f64 + own.min(self.sent.in_flight() as f64)
    }

    /// Load in tokens, relative to the weight, as the larger of what is reported
    /// and what this router has in flight.
    pub fn load(&self) -> f64 {
        let tokens = self.reported.max(self.sent.in_flight());
        tokens as f64 / self.weight
    }
}
