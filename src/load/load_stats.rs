//! What became of the requests.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::load::Kind;

/// Longest latency told apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Digits of a latency that count.
const DIGITS: u8 = 3;
/// Faults kept as text.
const FAULTS_KEPT: usize = 20;

key! {
    /// What became of one request.
    #[derive(serde::Serialize)]
    #[serde(rename_all = "snake_case")]
    pub enum RequestOutcome {
        /// Its own whole answer came.
        Good,
        /// Refused as not run.
        NotRun,
        /// Ended with the word that it may have run.
        MayHaveRun,
        /// An answer that is not whole, or of another request.
        Wrong,
        /// No answer.
        NoAnswer,
        /// Not sent: too many in flight.
        NotSent,
    }
}

impl RequestOutcome {
    /// What the fault text of a failed request means.
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

/// Requests of one second of the run, by their time in the schedule.
#[derive(Debug, Clone)]
pub(crate) struct SecondStats {
    pub(crate) outcomes: BTreeMap<RequestOutcome, u64>,
    pub(crate) latency: Histogram<u64>,
}

/// What became of all requests.
#[derive(Debug, Clone, Default)]
pub struct LoadStats {
    pub(crate) outcomes: BTreeMap<(Kind, RequestOutcome), u64>,
    pub(crate) latencies: BTreeMap<Kind, Histogram<u64>>,
    pub(crate) seconds: BTreeMap<u64, SecondStats>,
    pub(crate) faults: Vec<String>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS).expect("the bounds are good")
}

impl LoadStats {
    /// Adds a request that was due at `at`; `latency` runs from that time to the
    /// end of the answer, so that a late start counts (no coordinated omission).
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
        } else if self.faults.len() < FAULTS_KEPT {
            self.faults.push(format!("{} at {at:?}: {fault}", kind.as_str()));
        }
    }

    /// How many requests of all kinds had this outcome.
    pub fn count(&self, outcome: RequestOutcome) -> u64 {
        self.outcomes.iter().filter(|it| it.0.1 == outcome).map(|it| it.1).sum()
    }
}
