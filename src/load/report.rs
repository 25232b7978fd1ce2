//! Report of a run.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;

use crate::load::{Kind, LoadOptions, LoadStats, RequestOutcome};

/// Quantiles to report, as fractions.
const QUANTILES: [f64; 9] = [0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1.0];

plain! {
    /// Latency quantiles of one kind of requests, in milliseconds.
    #[derive(serde::Serialize)]
    pub struct Quantiles {
        /// Kind of requests.
        pub kind: &'static str,
        /// Number of correct answers.
        pub count: u64,
        /// Quantiles as fractions, with their latencies.
        pub points: Vec<(f64, f64)>,
    }

    /// One second of the run.
    #[derive(serde::Serialize)]
    pub struct Second {
        /// Number of the second, from the start of the run.
        pub at: u64,
        /// Requests due in this second, by outcome.
        #[serde(rename = "fates")]
        pub outcomes: BTreeMap<RequestOutcome, u64>,
        /// Median latency in milliseconds.
        pub p50: f64,
        /// 95th percentile of the latency in milliseconds.
        pub p95: f64,
    }

    /// Results of a run.
    #[derive(serde::Serialize)]
    pub struct LoadReport {
        /// Seed of the schedule.
        pub seed: u64,
        /// Requests a second of the schedule.
        pub rate: f64,
        /// Duration of the schedule in seconds.
        pub time_s: f64,
        /// Requests by outcome.
        #[serde(rename = "fates")]
        pub outcomes: BTreeMap<RequestOutcome, u64>,
        /// Requests by kind and outcome.
        pub kinds: BTreeMap<&'static str, BTreeMap<RequestOutcome, u64>>,
        /// Latencies by kind, from the time a request was due to the end of its answer.
        pub latencies: Vec<Quantiles>,
        /// The run second by second.
        pub seconds: Vec<Second>,
        /// The first faults.
        pub faults: Vec<String>,
    }
}

impl LoadReport {
    /// The report of a run.
    pub fn new(options: &LoadOptions, stats: &LoadStats) -> LoadReport {
        let mut outcomes = BTreeMap::new();
        let mut kinds: BTreeMap<&str, BTreeMap<RequestOutcome, u64>> = BTreeMap::new();
        for ((kind, outcome), count) in &stats.outcomes {
            *outcomes.entry(*outcome).or_default() += count;
            kinds.entry(kind.as_str()).or_default().insert(*outcome, *count);
        }
        let known = Kind::ALL.iter().filter_map(|it| Some((it, stats.latencies.get(it)?)));
        let seconds = stats.seconds.iter().map(|(at, it)| Second {
            at: *at,
            outcomes: it.outcomes.clone(),
            p50: millis(&it.latency, 0.5),
            p95: millis(&it.latency, 0.95),
        });
        LoadReport {
            seed: options.seed,
            rate: options.rate,
            time_s: options.time.as_secs_f64(),
            outcomes,
            kinds,
            latencies: known.map(|(kind, it)| quantiles(*kind, it)).collect(),
            seconds: seconds.collect(),
            faults: stats.faults.clone(),
        }
    }

    /// Whether no answer was wrong and at least one was correct.
    pub fn is_good(&self) -> bool {
        !self.outcomes.contains_key(&RequestOutcome::Wrong)
            && self.outcomes.contains_key(&RequestOutcome::Good)
    }
}

fn quantiles(kind: Kind, it: &Histogram<u64>) -> Quantiles {
    let points = QUANTILES.iter().map(|at| (*at, millis(it, *at))).collect();
    Quantiles { kind: kind.as_str(), count: it.len(), points }
}

fn millis(it: &Histogram<u64>, quantile: f64) -> f64 {
    it.value_at_quantile(quantile) as f64 / 1e3
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all = [
            (RequestOutcome::Good, "GOOD"),
            (RequestOutcome::NotRun, "NOT RUN"),
            (RequestOutcome::MayHaveRun, "MAY HAVE RUN"),
            (RequestOutcome::Wrong, "WRONG"),
            (RequestOutcome::NoAnswer, "NO ANSWER"),
            (RequestOutcome::NotSent, "NOT SENT"),
        ];
        write!(f, "{:<8}", "KIND")?;
        all.iter().try_for_each(|it| write!(f, "{:>14}", it.1))?;
        writeln!(f)?;
        for (kind, outcomes) in &self.kinds {
            write!(f, "{kind:<8}")?;
            for (outcome, _) in &all {
                write!(f, "{:>14}", outcomes.get(outcome).copied().unwrap_or(0))?;
            }
            writeln!(f)?;
        }
        writeln!(f, "\nlatency in ms, from the time a request was due to the end of its answer")?;
        write!(f, "{:<8}", "KIND")?;
        QUANTILES.iter().try_for_each(|it| write!(f, "{:>10}", format!("{}%", it * 100.0)))?;
        writeln!(f)?;
        for it in &self.latencies {
            write!(f, "{:<8}", it.kind)?;
            it.points.iter().try_for_each(|(_, ms)| write!(f, "{ms:>10.1}"))?;
            writeln!(f)?;
        }
        self.faults.iter().try_for_each(|it| writeln!(f, "  {it}"))
    }
}
