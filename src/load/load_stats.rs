//! Outcomes and latencies of the requests of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::load::Kind;

/// Highest latency that is recorded, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant digits of a recorded latency.
const LATENCY_DIGITS: u8 = 3;
/// Maximum number of fault texts that are stored.
const MAX_FAULTS: usize = 20;

key! {
    /// Outcome of one request.
    #[derive(serde::Serialize)]
    #[serde(rename_all = "snake_case")]
    pub enum RequestOutcome {
        /// The complete answer to this request arrived.
        Good,
        /// Refused; the request did not run.
        NotRun,
        /// Failed; the request may have run.
        MayHaveRun,
        /// The answer is incomplete or belongs to another request.
        Wrong,
        /// No answer arrived.
        NoAnswer,
        /// Not sent, as too many requests were in flight.
        NotSent,
    }
}

impl RequestOutcome {
    /// Reads the outcome of a failed request from the text of its fault.
    pub fn of(fault: &str) -> RequestOutcome {
        let verdict = |name: &str| fault.contains(&format!("\"verdict\":\"{name}\""));
        if verdict("not_run") {
            RequestOutcome::NotRun
        } else if verdict("may_have_run") || verdict("ran") {
            RequestOutcome::MayHaveRun
        } else if fault.starts_with("wrong: ") {
            RequestOutcome::Wrong
        } else {
            RequestOutcome::NoAnswer
        }
    }
}

/// Outcomes and latencies of the requests that were due in one second of the run.
#[derive(Debug, Clone)]
pub(crate) struct SecondStats {
    pub(crate) outcomes: BTreeMap<RequestOutcome, u64>,
    pub(crate) latency: Histogram<u64>,
}

/// Outcomes and latencies of all requests of a run.
#[derive(Debug, Clone, Default)]
pub struct LoadStats {
    pub(crate) outcomes: BTreeMap<(Kind, RequestOutcome), u64>,
    pub(crate) latencies: BTreeMap<Kind, Histogram<u64>>,
    pub(crate) seconds: BTreeMap<u64, SecondStats>,
    pub(crate) faults: Vec<String>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS).expect("the bounds are valid")
}

impl LoadStats {
    /// Records a request that was due at `at`. `latency` runs from that time to the end of
    /// the answer, so that a late start counts (no coordinated omission).
    pub fn add(
        &mut self,
        kind: Kind,
        at: Duration,
        latency: Duration,
        outcome: RequestOutcome,
        fault: &str,
    ) {
        *self.outcomes.entry((kind, outcome)).or_default() += 1;
        let new = || SecondStats { outcomes: BTreeMap::new(), latency: histogram() };
        let slot = self.seconds.entry(at.as_secs()).or_insert_with(new);
        *slot.outcomes.entry(outcome).or_default() += 1;
        if outcome == RequestOutcome::Good {
            let micros = (latency.as_micros() as u64).clamp(1, MAX_LATENCY_US);
            self.latencies.entry(kind).or_insert_with(histogram).saturating_record(micros);
            slot.latency.saturating_record(micros);
        } else if self.faults.len() < MAX_FAULTS {
            self.faults.push(format!("{} at {at:?}: {fault}", kind.as_str()));
        }
    }

    /// Number of requests of all kinds with this outcome.
    pub fn count(&self, outcome: RequestOutcome) -> u64 {
        self.outcomes.iter().filter(|it| it.0.1 == outcome).map(|it| it.1).sum()
    }
}
