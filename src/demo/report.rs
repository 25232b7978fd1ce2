//! Figures of the demonstration, printed as a table.

use std::collections::BTreeMap;
use std::fmt;

use crate::daemon::Daemon;
use crate::demo::{Fleet, TrafficResult};
use crate::fleet::Purpose;

/// Figures of one run of the demonstration.
#[derive(Debug)]
pub struct DemoReport {
    result: TrafficResult,
    verdicts: BTreeMap<(String, String), u64>,
    prompt_tokens: u64,
    cached_tokens: u64,
    spilled: u64,
    control_rate: f64,
    claim_rate: f64,
}

impl DemoReport {
    /// Collects the figures; control traffic is counted from the start of the fleet.
    pub fn new(fleet: &Fleet, result: TrafficResult) -> DemoReport {
        let sum = |figure: fn(&Daemon) -> u64| fleet.routers.iter().map(figure).sum::<u64>();
        let mut verdicts = BTreeMap::new();
        for router in &fleet.routers {
            for (kind, verdict, count) in router.shared().counters.verdicts() {
                *verdicts.entry((kind, verdict)).or_default() += count;
            }
        }
        let control_bytes = sum(|it| it.shared().meter.total());
        let claim_bytes = sum(|it| it.shared().meter.bytes_for(Purpose::Claims));
        let seconds = fleet.began.elapsed().as_secs_f64();
        let rate = |bytes: u64| bytes as f64 / fleet.routers.len() as f64 / seconds;
        DemoReport {
            verdicts,
            prompt_tokens: sum(|it| it.shared().counters.prompt_tokens.get()),
            cached_tokens: sum(|it| it.shared().counters.cached_tokens.get()),
            spilled: sum(|it| it.shared().counters.spilled.get()),
            control_rate: rate(control_bytes),
            claim_rate: rate(claim_bytes),
            result,
        }
    }

    /// Results of the traffic, as the callers saw them.
    pub fn result(&self) -> &TrafficResult {
        &self.result
    }

    /// Whether every request got its own complete answer.
    pub fn is_good(&self) -> bool {
        self.result.failures.is_empty() && self.result.requests > 0
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let result = &self.result;
        let reuse = 100.0 * self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64;
        let max_skew = result.skews.iter().copied().fold(0.0, f64::max);
        let mean_skew = result.skews.iter().sum::<f64>() / result.skews.len().max(1) as f64;
        writeln!(f, "{:<36}{:>10}", "chat requests", result.requests)?;
        writeln!(f, "{:<36}{:>10}", "reservations", result.reservations)?;
        for ((kind, verdict), count) in &self.verdicts {
            writeln!(f, "{:<36}{count:>10}", format!("answers: {kind}, {verdict}"))?;
        }
        writeln!(f, "{:<36}{:>10}", "without their own complete answer", result.failures.len())?;
        writeln!(f, "{:<36}{reuse:>9.1}%", "cache reuse (prompt tokens)")?;
        writeln!(f, "{:<36}{:>10}", "spilled requests", self.spilled)?;
        writeln!(f, "{:<36}{max_skew:>10.2}", "skew in tokens, highest sample")?;
        writeln!(f, "{:<36}{mean_skew:>10.2}", "skew in tokens, mean")?;
        writeln!(f, "{:<36}{:>10.0}", "control bytes/router/s, joining", self.control_rate)?;
        writeln!(f, "{:<36}{:>10.0}", "of these for claims", self.claim_rate)?;
        for it in result.failures.iter().take(10) {
            writeln!(f, "  {it}")?;
        }
        Ok(())
    }
}
