//! Metrics of single requests.

use std::collections::HashSet;
use std::sync::Mutex;
use std::time::Duration;

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry};

/// Limit of organisations with a label of their own, which bounds the label's values.
const MAX_ORGANISATIONS: usize = 64;
/// Label of all further organisations.
const OTHERS_LABEL: &str = "others";
/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.3, 2.5, 10.0, 60.0];

/// Latencies of responses, and requests by organisation.
#[derive(Debug)]
pub struct RequestMetrics {
    /// Time from the head of a request to the head of its response.
    latency: HistogramVec,
    requests: IntCounterVec,
    /// Organisations with a label of their own. Invariant: at most
    /// [`MAX_ORGANISATIONS`].
    labelled: Mutex<HashSet<String>>,
}

impl RequestMetrics {
    /// New metrics, registered with `registry`.
    ///
    /// # Errors
    /// Fails when `registry` already has a metric with one of the names.
    pub fn new(registry: &Registry) -> Result<RequestMetrics, prometheus::Error> {
        let help = "Time from the head of a request to the head of its answer";
        let opts = HistogramOpts::new("filberttiller_answer_head_seconds", help);
        let latency = HistogramVec::new(opts.buckets(LATENCY_BUCKETS.to_vec()), &["kind"])?;
        let help = "Requests by organisation; the first 64 have names of their own";
        let opts = Opts::new("filberttiller_organisation_requests_total", help);
        let requests = IntCounterVec::new(opts, &["organisation"])?;
        registry.register(Box::new(latency.clone()))?;
        registry.register(Box::new(requests.clone()))?;
        Ok(RequestMetrics { latency, requests, labelled: Mutex::default() })
    }

    /// Observes a response to a call of `kind` whose head was sent after `time`.
    pub fn observe_response(&self, kind: &str, time: Duration) {
        self.latency.with_label_values(&[kind]).observe(time.as_secs_f64());
    }

    /// Counts a request of `organisation`.
    pub fn count_request(&self, organisation: &str) {
        let has_label = {
            let mut labelled = self.labelled.lock().unwrap();
            labelled.contains(organisation)
                || (labelled.len() < MAX_ORGANISATIONS && labelled.insert(organisation.to_owned()))
        };
        let label = if has_label { organisation } else { OTHERS_LABEL };
        self.requests.with_label_values(&[label]).inc();
    }
}
