//! Rate limit on the appends of claims by one router.

/// Appends that a router may make at once after a time without any.
const BURST: f64 = 4.0;

/// Limits the appends of the fleet to a rate. Each router has an equal share of the rate in
/// a token bucket (Turner 1986) of [`BURST`] appends, so that the first claims after a pause
/// need not wait for this router's share.
#[derive(Debug, Clone, PartialEq)]
pub struct AppendLimiter {
    /// Appends saved up.
    saved: f64,
    /// Time of the last refill, in milliseconds.
    filled_ms: u64,
}

impl AppendLimiter {
    /// Returns a full bucket.
    pub fn new(now_ms: u64) -> AppendLimiter {
        AppendLimiter { saved: BURST, filled_ms: now_ms }
    }

    /// Takes one append. All `routers` together may make `rate` appends a second.
    ///
    /// # Errors
    /// If no append is available, returns the time until one is, in milliseconds and above 0.
    pub fn take(&mut self, now_ms: u64, routers: usize, rate: u32) -> Result<(), u64> {
        let each_ms = 1_000.0 * routers.max(1) as f64 / f64::from(rate.max(1));
        let passed = now_ms.saturating_sub(self.filled_ms) as f64;
        self.saved = (self.saved + passed / each_ms).min(BURST);
        self.filled_ms = now_ms;
        if self.saved >= 1.0 {
            self.saved -= 1.0;
            return Ok(());
        }
        Err(((1.0 - self.saved) * each_ms).ceil().max(1.0) as u64)
    }
}
