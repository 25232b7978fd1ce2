//! How far each server of a service counts as slower or quicker than the others.

use std::time::Instant;

use smallvec::SmallVec;

use crate::decide::{PaceEvidence, ServerPace};

/// Variance of the reports of one server that is assumed before they show one.
const ASSUMED_VARIANCE: f64 = 0.1;
/// Weight of that assumption, in reports.
const ASSUMED_WEIGHT: f64 = 4.0;
/// Least weight of the service's mean against the reports of one server.
const MIN_MEAN_WEIGHT: f64 = 0.5;

/// Updates the factors of the servers of one service.
///
/// Figures that swing quickly say little of the next second. What a server's reports count against
/// the mean of its service follows credibility theory (Bühlmann and Straub, 1970): the more the
/// servers differ from each other, the less each one's reports swing and the more of them there are,
/// the more they count. Old reports lose their weight, so that the mean takes their place. While
/// no server reports a pace, all factors stay 1.
pub fn follow_paces<'a>(servers: impl Iterator<Item = &'a ServerPace>, now: Instant) {
    let known: SmallVec<[(&ServerPace, Option<PaceEvidence>); 64]> =
        servers.map(|it| (it, it.evidence(now))).collect();
    let evidence = || known.iter().filter_map(|(_, it)| *it);
    let total: f64 = evidence().map(|it| it.weight).sum();
    if total == 0.0 {
        known.iter().filter(|(it, _)| it.factor() != 1.0).for_each(|(it, _)| it.reset());
        return;
    }
    let mean = evidence().map(|it| it.mean * it.weight).sum::<f64>() / total;
    let mean_weight = mean_weight(evidence, mean, total);
    for (server, evidence) in &known {
        let share = match (evidence, mean_weight) {
            (Some(it), Some(mean_weight)) => it.weight / (it.weight + mean_weight),
            _ => 0.0,
        };
        let distance = evidence.map_or(0.0, |it| it.mean - mean);
        server.follow(mean, mean + share * distance, now);
    }
}

/// Weight of the service's mean against the reports of one server, in reports; `None` where the
/// servers do not differ by more than chance.
fn mean_weight<I: Iterator<Item = PaceEvidence>>(
    evidence: impl Fn() -> I,
    mean: f64,
    total: f64,
) -> Option<f64> {
    let swing: f64 = evidence().map(|it| it.weight * it.variance).sum();
    let freedom: f64 = evidence().map(|it| (it.weight - 1.0).max(0.0)).sum();
    let within = (swing + ASSUMED_WEIGHT * ASSUMED_VARIANCE) / (freedom + ASSUMED_WEIGHT);
    let spread: f64 = evidence().map(|it| it.weight * (it.mean - mean).powi(2)).sum();
    let others = evidence().count().saturating_sub(1) as f64;
    let squares: f64 = evidence().map(|it| it.weight * it.weight).sum();
    let between = (spread - others * within) / (total - squares / total);
    (between > 0.0).then(|| (within / between).max(MIN_MEAN_WEIGHT))
}
