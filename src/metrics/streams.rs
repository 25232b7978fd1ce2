//! Metrics of streamed responses.

use std::time::{Duration, Instant};

use prometheus::{Histogram, HistogramOpts, Registry};

/// Upper bounds of the buckets for times to the first token, in seconds.
const FIRST_TOKEN_BUCKETS: [f64; 9] = [0.05, 0.1, 0.25, 0.5, 1.0, 1.3, 2.5, 5.0, 10.0];
/// Upper bounds of the buckets for times between tokens, in seconds.
const TOKEN_GAP_BUCKETS: [f64; 8] = [0.005, 0.01, 0.02, 0.039, 0.08, 0.2, 1.0, 5.0];

/// Times to the first token and between tokens.
#[derive(Debug)]
pub struct StreamMetrics {
    first: Histogram,
    gaps: Histogram,
}

impl StreamMetrics {
    /// New metrics, registered with `registry`.
    ///
    /// # Errors
    /// Fails when `registry` already has a metric with one of the names.
    pub fn new(registry: &Registry) -> Result<StreamMetrics, prometheus::Error> {
        let help = "Time from the head of a request to its first token";
        let first = HistogramOpts::new("filberttiller_first_token_seconds", help);
        let first = Histogram::with_opts(first.buckets(FIRST_TOKEN_BUCKETS.to_vec()))?;
        let help = "Time between two tokens of a stream";
        let gaps = HistogramOpts::new("filberttiller_token_gap_seconds", help);
        let gaps = Histogram::with_opts(gaps.buckets(TOKEN_GAP_BUCKETS.to_vec()))?;
        registry.register(Box::new(first.clone()))?;
        registry.register(Box::new(gaps.clone()))?;
        Ok(StreamMetrics { first, gaps })
    }
}

/// Times between the tokens of one stream.
#[derive(Debug)]
pub(crate) struct TokenTimer {
    /// When the last token arrived, or the request before the first one.
    last: Instant,
    /// Whether a token has arrived, so that the next time is a gap.
    has_token: bool,
}

impl TokenTimer {
    /// Timer of a stream whose request arrived at `began`. A resumed stream has had
    /// its first token already.
    pub(crate) fn new(began: Instant, is_resumed: bool) -> TokenTimer {
        TokenTimer { last: began, has_token: is_resumed }
    }

    /// Records a token that arrived at `now`.
    pub(crate) fn record(&mut self, metrics: &StreamMetrics, now: Instant) {
        let time: Duration = now.saturating_duration_since(self.last);
        let histogram = if self.has_token { &metrics.gaps } else { &metrics.first };
        histogram.observe(time.as_secs_f64());
        self.has_token = true;
        self.last = now;
    }
}
