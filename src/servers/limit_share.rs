//! The share of this router in a limit of requests a second that the fleet keeps together.

use std::time::Instant;

use crate::decide::RateLimit;

/// A share, and what is left of it.
#[derive(Debug, Default)]
pub(crate) struct LimitShare {
    /// Requests a second.
    rate: f64,
    bucket: Option<RateLimit>,
}

impl LimitShare {
    /// Sets the requests a second.
    pub fn set(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Begins with all that may be saved up.
    pub fn refill(&mut self) {
        self.bucket = None;
    }

    /// Requests a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Whether a request may be sent now.
    pub fn is_left(&self, now: Instant) -> bool {
        match &self.bucket {
            None => self.rate > 0.0,
            Some(bucket) => bucket.available(self.rate, now),
        }
    }

    /// Counts a request; false if the share is spent. What may be saved up is the share of
    /// `burst_s` seconds, one request at the least.
    pub fn take(&mut self, burst_s: f64, now: Instant) -> bool {
        let rate = self.rate;
        let new = || RateLimit::with_burst(rate, burst_s, now);
        rate > 0.0 && self.bucket.get_or_insert_with(new).take(rate, now).is_ok()
    }
}
