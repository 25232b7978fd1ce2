//! Retry budgets by service.

use std::time::Instant;

use crate::decide::{RetryBudget, RetryRate};
use crate::relay::RelayLimits;
use crate::relay::by_service::ByService;

/// Share of the allowed ratio that one router uses, as the windows of routers overlap.
const RATIO_SHARE: f64 = 0.5;
/// Share of the allowed slack that is earned over a window without requests.
const SLACK_SHARE: f64 = 0.4;
/// Share of the allowed slack that may be spent at once.
const BURST_SHARE: f64 = 0.4;

/// A retry budget for each service. The fleet's budget is divided among the routers alive.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    budgets: ByService<RetryBudget>,
}

impl RetryBudgets {
    /// Budgets that start full.
    pub fn new() -> RetryBudgets {
        RetryBudgets::default()
    }

    /// Counts the first attempt of a request for `service`.
    pub fn earn(&self, service: &str, rate: &RetryRate, now: Instant) {
        self.with(service, rate, now, RetryBudget::earn);
    }

    /// Spends one retry of `service`; false when the budget is exhausted.
    pub fn spend(&self, service: &str, rate: &RetryRate, now: Instant) -> bool {
        self.with(service, rate, now, |it| it.spend(now))
    }

    /// The rate of one router in a fleet of `routers`.
    pub fn rate(limits: &RelayLimits, routers: usize) -> RetryRate {
        let slack = limits.retry_slack / routers.max(1) as f64;
        let window = limits.retry_window.as_secs_f64().max(1.0);
        RetryRate {
            per_request: limits.retry_ratio * RATIO_SHARE,
            per_second: slack * SLACK_SHARE / window,
            max_saved: (slack * BURST_SHARE).max(1.0),
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
