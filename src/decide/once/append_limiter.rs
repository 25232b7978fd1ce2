//! How often one router appends claims.

/// Appends that a router may make at once after a time without any.
const BURST: f64 = 4.0;

/// Keeps the appends of a whole fleet to a rate: each router has an equal part of
/// it, saved up to [`BURST`] appends (a token bucket, Turner 1986), so that the
/// first claims after a pause do not wait for the part of this router.
#[derive(Debug, Clone, PartialEq)]
pub struct AppendLimiter {
    /// Appends saved up.
    saved: f64,
    /// When they were counted, in milliseconds.
    counted_ms: u64,
}

impl AppendLimiter {
    /// A router that made no append yet.
    pub fn new(now_ms: u64) -> AppendLimiter {
        AppendLimiter { saved: BURST, counted_ms: now_ms }
    }

    /// Takes one append if there is one left; else tells in how many milliseconds
    /// there will be. All `routers` together may make `rate` appends a second.
    ///
    /// # Errors
    /// The time to wait, above 0.
    pub fn take(&mut self, now_ms: u64, routers: usize, rate: u32) -> Result<(), u64> {
        let each_ms = 1_000.0 * routers.max(1) as f64 / f64::from(rate.max(1));
        let passed = now_ms.saturating_sub(self.counted_ms) as f64;
        self.saved = (self.saved + passed / each_ms).min(BURST);
        self.counted_ms = now_ms;
        if self.saved >= 1.0 {
            self.saved -= 1.0;
            return Ok(());
        }
        Err(((1.0 - self.saved) * each_ms).ceil().max(1.0) as u64)
    }
}
