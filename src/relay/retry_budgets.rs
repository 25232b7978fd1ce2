//! Retry budgets of all services.

use std::time::Instant;

use crate::decide::{RetryBudget, RetryRate};
use crate::relay::RelayLimits;
use crate::relay::by_service::ByService;

/// Part of the allowed ratio that one router uses; windows of routers overlap.
const RATIO_PART: f64 = 0.5;
/// Part of the allowed slack that is earned over a window without requests.
const SLACK_PART: f64 = 0.4;
/// Part of the allowed slack that may be spent at once.
const BURST_PART: f64 = 0.4;

/// One budget a service; the routers alive share what the fleet may spend.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    budgets: ByService<RetryBudget>,
}

impl RetryBudgets {
    /// Full budgets.
    pub fn new() -> RetryBudgets {
        RetryBudgets::default()
    }

    /// Counts the first try of a request for `service`.
    pub fn earn(&self, service: &str, rate: &RetryRate, now: Instant) {
        self.with(service, rate, now, RetryBudget::earn);
    }

    /// Takes one retry for `service`, if there is one.
    pub fn spend(&self, service: &str, rate: &RetryRate, now: Instant) -> bool {
        self.with(service, rate, now, |it| it.spend(now))
    }

    /// The share of one of `routers` routers.
    pub fn rate(limits: &RelayLimits, routers: usize) -> RetryRate {
        let slack = limits.retry_slack / routers.max(1) as f64;
        let window = limits.retry_window.as_secs_f64().max(1.0);
        RetryRate {
            per_request: limits.retry_ratio * RATIO_PART,
            per_second: slack * SLACK_PART / window,
            max_saved: (slack * BURST_PART).max(1.0),
        }
    }

    fn with<T>(
        &self,
        service: &str,
        rate: &RetryRate,
        now: Instant,
        act: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let full = || RetryBudget::with_rate(*rate, now);
        self.budgets.with(service, full, |budget| {
            budget.set_rate(*rate);
            act(budget)
        })
    }
}
