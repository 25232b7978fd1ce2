//! Metrics of single requests.

use std::collections::HashSet;
use std::sync::Mutex;
use std::time::Duration;

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry};

/// Organisations that get a label of their own.
const MAX_ORGANISATIONS: usize = 64;
/// Label of all other organisations.
const OTHERS: &str = "others";
/// Upper bounds of the latency buckets, in seconds.
const BUCKETS: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.3, 2.5, 10.0, 60.0];

/// Latencies, and requests by organisation.
#[derive(Debug)]
pub struct RequestMetrics {
    head: HistogramVec,
    organisations: IntCounterVec,
    /// Invariant: at most `MAX_ORGANISATIONS` names.
    named: Mutex<HashSet<String>>,
}

impl RequestMetrics {
    /// New metrics, registered with `registry`.
    ///
    /// # Errors
    /// Fails when a name is taken.
    pub fn new(registry: &Registry) -> Result<RequestMetrics, prometheus::Error> {
        let help = "Time from the head of a request to the head of its answer";
        let opts = HistogramOpts::new("filberttiller_answer_head_seconds", help);
        let head = HistogramVec::new(opts.buckets(BUCKETS.to_vec()), &["kind"])?;
        let help = "Requests by organisation; the first 64 have names of their own";
        let opts = Opts::new("filberttiller_organisation_requests_total", help);
        let organisations = IntCounterVec::new(opts, &["organisation"])?;
        registry.register(Box::new(head.clone()))?;
        registry.register(Box::new(organisations.clone()))?;
        Ok(RequestMetrics { head, organisations, named: Mutex::default() })
    }

    /// Counts an answer that began after `time`.
    pub fn observe_response(&self, kind: &str, time: Duration) {
        self.head.with_label_values(&[kind]).observe(time.as_secs_f64());
    }

    /// Counts a request of `organisation`.
    pub fn count_request(&self, organisation: &str) {
        let known = {
            let mut named = self.named.lock().unwrap();
            named.contains(organisation)
                || (named.len() < MAX_ORGANISATIONS && named.insert(organisation.to_owned()))
        };
        let label = if known { organisation } else { OTHERS };
        self.organisations.with_label_values(&[label]).inc();
    }
}
