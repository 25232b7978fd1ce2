//! Results of a measurement, as a table or JSON.

use std::fmt::Write;

use crate::measure::{Figures, POLICIES, Policy, Trace, replay};

wire! {
    /// Result of one policy on one trace.
    pub struct Row {
        /// Name of the trace.
        pub trace: String,
        /// Name of the policy.
        pub policy: String,
        /// Cache reuse, in percent of the repeated tokens.
        pub reuse: f64,
        /// The same for the all-knowing policy.
        pub ideal: f64,
        /// Median skew (busiest over mean load) of the samples where the bound can be met.
        pub skew_p50: f64,
        /// 99th percentile of the skew of these samples.
        pub skew_p99: f64,
        /// Largest skew of these samples.
        pub skew_max: f64,
        /// Number of samples where the bound can be met.
        pub samples: u64,
        /// Of these, samples above the bound.
        pub above: u64,
        /// Largest skew of all samples with at least as many requests as engines.
        pub raw_max: f64,
        /// Requests placed on an engine that was not the first of the rank.
        pub spilled: u64,
        /// Requests refused.
        pub refused: u64,
        /// Requests placed on an engine that was leaving.
        pub late: u64,
        /// Jain's fairness index of the organisations' slowdowns.
        pub fairness: f64,
        /// Mean of the time of a request divided by its time on an idle engine.
        pub slowdown: f64,
        /// Control traffic of one router, in bytes per second.
        pub bytes: f64,
        /// Whether reuse is within the stated gap.
        pub reuse_met: bool,
        /// Whether no sample is above the stated bound.
        pub bound_met: bool,
    }
}

/// Replays `trace` under the policies `names`, or under all if `names` is empty.
pub fn measure(trace: &Trace, names: &[String]) -> Vec<Row> {
    let reference = replay(trace, &POLICIES[0]);
    let wanted = |it: &&Policy| names.is_empty() || names.iter().any(|name| name == it.name);
    let rows = POLICIES.iter().filter(wanted).map(|it| {
        let figures = if it.all_knowing { reference.clone() } else { replay(trace, it) };
        row(trace, it.name, &figures, &reference)
    });
    rows.collect()
}

fn row(trace: &Trace, policy: &str, figures: &Figures, reference: &Figures) -> Row {
    let head = &trace.head;
    let met = reference.can_meet(head.bound);
    let mut skews: Vec<f64> = met.iter().map(|&i| figures.samples[i].skew()).collect();
    skews.sort_by(f64::total_cmp);
    let above = skews.iter().filter(|&&it| it > head.bound).count() as u64;
    let busy = figures.samples.iter().filter(|it| it.busy);
    Row {
        trace: head.trace.clone(),
        policy: policy.to_owned(),
        reuse: figures.reuse(),
        ideal: reference.reuse(),
        skew_p50: quantile(&skews, 0.5),
        skew_p99: quantile(&skews, 0.99),
        skew_max: quantile(&skews, 1.0),
        samples: skews.len() as u64,
        above,
        raw_max: busy.map(|it| it.skew()).fold(0.0, f64::max),
        spilled: figures.spilled,
        refused: figures.refused,
        late: figures.late,
        fairness: figures.fairness(),
        slowdown: figures.slowdown(),
        bytes: figures.byte_rate(),
        reuse_met: figures.reuse() >= reference.reuse() - head.reuse_gap,
        bound_met: above == 0,
    }
}

/// The `share` quantile of the sorted `values` (nearest rank); 0 if there are none.
fn quantile(values: &[f64], share: f64) -> f64 {
    let last = values.len().saturating_sub(1);
    values.get((last as f64 * share).round() as usize).copied().unwrap_or(0.0)
}

/// The rows of one trace as a table.
pub fn table(rows: &[Row]) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{:<13} {:>6} {:>6} {:>5} {:>5} {:>6} {:>9} {:>7} {:>7} {:>7} {:>5} {:>6} {:>6} {:>7}  outcome",
        "policy",
        "reuse",
        "ideal",
        "p50",
        "p99",
        "max",
        "above",
        "rawmax",
        "spilled",
        "refused",
        "late",
        "fair",
        "slow",
        "bytes/s",
    );
    for it in rows {
        let above = format!("{}/{}", it.above, it.samples);
        let _ = writeln!(
            text,
            "{:<13} {:>6.1} {:>6.1} {:>5.2} {:>5.2} {:>6.2} {:>9} {:>7.2} {:>7} {:>7} {:>5} {:>6.3} {:>6.2} {:>7.0}  {}",
            it.policy,
            it.reuse,
            it.ideal,
            it.skew_p50,
            it.skew_p99,
            it.skew_max,
            above,
            it.raw_max,
            it.spilled,
            it.refused,
            it.late,
            it.fairness,
            it.slowdown,
            it.bytes,
            outcome(it),
        );
    }
    text
}

fn outcome(row: &Row) -> &'static str {
    match (row.reuse_met, row.bound_met) {
        (true, true) => "both met",
        (true, false) => "bound not met",
        (false, true) => "reuse not met",
        (false, false) => "neither met",
    }
}
