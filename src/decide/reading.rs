//! The time that backend servers take to read prompts.

use std::time::Duration;

/// Weight of the newest answer in the means.
const WEIGHT: f64 = 1.0 / 128.0;
/// Answers before the rate counts as known.
const MIN_SAMPLES: u32 = 32;
/// Bounds of a rate that is plausible, in tokens a second.
const MIN_RATE: f64 = 1_000.0;
const MAX_RATE: f64 = 10_000_000.0;
/// Variance of the unread tokens below which they tell nothing of the rate.
const MIN_VARIANCE: f64 = 1_000.0;

/// How fast the servers of a service read prompts, learnt from the time to the heads of answers
/// by the tokens that were unread before them: linear regression over the latest answers, with
/// exponential forgetting. The constant part of that time, for the network and the first step,
/// is not reading.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ReadingRate {
    samples: u32,
    /// Means of the unread tokens, of the time in seconds, and of their products.
    tokens: f64,
    time: f64,
    squares: f64,
    products: f64,
}

impl ReadingRate {
    /// Records that an answer began after `time`, with `unread` tokens to be read before it.
    pub fn record(&mut self, unread: u64, time: Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.samples));
        let (tokens, time) = (unread as f64, time.as_secs_f64());
        self.tokens += (tokens - self.tokens) * weight;
        self.time += (time - self.time) * weight;
        self.squares += (tokens * tokens - self.squares) * weight;
        self.products += (tokens * time - self.products) * weight;
    }

    /// Tokens that a server reads in a second; absent while that cannot be told.
    pub fn rate(&self) -> Option<f64> {
        let variance = self.squares - self.tokens * self.tokens;
        let covariance = self.products - self.tokens * self.time;
        if self.samples < MIN_SAMPLES || variance < MIN_VARIANCE || covariance <= 0.0 {
            return None;
        }
        Some(variance / covariance).filter(|it| (MIN_RATE..=MAX_RATE).contains(it))
    }
}
