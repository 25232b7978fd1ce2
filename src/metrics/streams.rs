//! Metrics of streamed answers.

use std::time::{Duration, Instant};

use prometheus::{Histogram, HistogramOpts, Registry};

/// Upper bounds of the buckets of first tokens, in seconds.
const FIRST_BUCKETS: [f64; 9] = [0.05, 0.1, 0.25, 0.5, 1.0, 1.3, 2.5, 5.0, 10.0];
/// Upper bounds of the buckets of pauses between tokens, in seconds.
const GAP_BUCKETS: [f64; 8] = [0.005, 0.01, 0.02, 0.039, 0.08, 0.2, 1.0, 5.0];

/// How fast tokens come.
#[derive(Debug)]
pub struct StreamMetrics {
    first: Histogram,
    gaps: Histogram,
}

impl StreamMetrics {
    /// New metrics, registered with `registry`.
    ///
    /// # Errors
    /// Fails when a name is taken.
    pub fn new(registry: &Registry) -> Result<StreamMetrics, prometheus::Error> {
        let help = "Time from the head of a request to its first token";
        let first = HistogramOpts::new("filberttiller_first_token_seconds", help);
        let first = Histogram::with_opts(first.buckets(FIRST_BUCKETS.to_vec()))?;
        let help = "Time between two tokens of a stream";
        let gaps = HistogramOpts::new("filberttiller_token_gap_seconds", help);
        let gaps = Histogram::with_opts(gaps.buckets(GAP_BUCKETS.to_vec()))?;
        registry.register(Box::new(first.clone()))?;
        registry.register(Box::new(gaps.clone()))?;
        Ok(StreamMetrics { first, gaps })
    }
}

/// TokenTimer of the tokens of one stream.
#[derive(Debug)]
pub(crate) struct TokenTimer {
    last: Instant,
    /// Whether a token came.
    flowing: bool,
}

impl TokenTimer {
    /// A stream whose request arrived at `began`; the rest of a stream, when
    /// `rest` is set, has no first token.
    pub(crate) fn new(began: Instant, rest: bool) -> TokenTimer {
        TokenTimer { last: began, flowing: rest }
    }

    /// Counts a token that came at `now`.
    pub(crate) fn record(&mut self, metrics: &StreamMetrics, now: Instant) {
        let time: Duration = now.saturating_duration_since(self.last);
        let counted = if self.flowing { &metrics.gaps } else { &metrics.first };
        counted.observe(time.as_secs_f64());
        self.flowing = true;
        self.last = now;
    }
}
