//! State that all requests of a router share.

use std::sync::Arc;

use prometheus::core::Collector;
use prometheus::proto::Metric;
use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

use crate::admission::AdmissionControl;
use crate::backend::TrafficMeter;
use crate::clock::SharedClock;
use crate::decide::ChatTable;
use crate::decide::Verdict;
use crate::events::EventLog;
use crate::filters::{Arm, Upstream};
use crate::fleet::{Budget, CrashTable, LeavingMarks, ViewCell};
use crate::keys::KeyRing;
use crate::metrics::{RequestMetrics, StreamMetrics};
use crate::once::OnceCoordinator;
use crate::settings::Settings;
use crate::wire::Usage;

/// State that all requests of a router share.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the instance.
    pub settings: Settings,
    /// The view of the fleet.
    pub view: Arc<ViewCell>,
    /// Recent events.
    pub events: Arc<EventLog>,
    /// Counters.
    pub counters: Counters,
    /// Traffic of control calls in bytes.
    pub meter: Arc<TrafficMeter>,
    /// Marks of backend servers that are leaving.
    pub marks: Arc<LeavingMarks>,
    /// Byte budget of control calls.
    pub budget: Arc<Budget>,
    /// Crashes of backend servers by request fingerprint.
    pub crashes: Arc<CrashTable>,
    /// Where chats were placed.
    pub chats: ChatTable,
    /// Keys of the fleet.
    pub keys: KeyRing,
    /// Claims of idempotency keys.
    pub once: Arc<OnceCoordinator>,
    /// Concurrency limits of the pools, and rate limits of the organisations.
    pub admission: AdmissionControl,
    /// The clock.
    pub clock: SharedClock,
    /// Client for backend servers.
    pub http: reqwest::Client,
    /// What was observed of the backend servers.
    pub upstream: Upstream,
}

/// Counters of the request path.
#[derive(Debug)]
pub struct Counters {
    registry: Registry,
    /// Latencies and requests by organisation.
    pub request_metrics: RequestMetrics,
    /// Token times of streams.
    pub stream_metrics: StreamMetrics,
    /// Requests by outcome.
    pub requests: IntCounterVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Tokens of prompts.
    pub prompt_tokens: IntCounter,
    /// Tokens of prompts that engines found cached.
    pub cached_tokens: IntCounter,
    /// Requests that the first server of their rank could not take.
    pub spilled: IntCounter,
    /// Orders sent to engines.
    pub orders: IntCounter,
    /// Orders that engines refused because of an old fencing number.
    pub refused_orders: IntCounter,
    /// Requests of experiments by arm and outcome.
    pub arm_requests: IntCounterVec,
    /// Prompt tokens of experiments by arm, cached or not.
    pub arm_tokens: IntCounterVec,
}

impl Counters {
    /// New counters with their registry.
    ///
    /// # Errors
    /// Fails when two counters have the same name.
    pub fn new() -> Result<Counters, prometheus::Error> {
        let opts = |name: &str, help: &str| Opts::new(format!("filberttiller_{name}"), help);
        let registry = Registry::new();
        let counters = Counters {
            request_metrics: RequestMetrics::new(&registry)?,
            stream_metrics: StreamMetrics::new(&registry)?,
            registry,
            requests: IntCounterVec::new(
                opts("requests_total", "Requests by kind and verdict"),
                &["kind", "verdict"],
            )?,
            in_flight: IntGauge::with_opts(opts("in_flight_requests", "Requests in flight"))?,
            prompt_tokens: IntCounter::with_opts(opts("prompt_tokens_total", "Prompt tokens"))?,
            cached_tokens: IntCounter::with_opts(opts(
                "cached_prompt_tokens_total",
                "Prompt tokens that engines found cached",
            ))?,
            spilled: IntCounter::with_opts(opts(
                "spilled_requests_total",
                "Requests that the first of the rank could not take",
            ))?,
            orders: IntCounter::with_opts(opts("orders_total", "Orders sent to engines"))?,
            refused_orders: IntCounter::with_opts(opts(
                "refused_orders_total",
                "Orders that engines refused for an old fencing number",
            ))?,
            arm_requests: IntCounterVec::new(
                opts("experiment_requests_total", "Requests by experiment, arm and verdict"),
                &["experiment", "arm", "verdict"],
            )?,
            arm_tokens: IntCounterVec::new(
                opts("experiment_prompt_tokens_total", "Prompt tokens by experiment and arm"),
                &["experiment", "arm", "cached"],
            )?,
        };
        let all = &counters.registry;
        all.register(Box::new(counters.requests.clone()))?;
        all.register(Box::new(counters.in_flight.clone()))?;
        all.register(Box::new(counters.prompt_tokens.clone()))?;
        all.register(Box::new(counters.cached_tokens.clone()))?;
        all.register(Box::new(counters.spilled.clone()))?;
        all.register(Box::new(counters.orders.clone()))?;
        all.register(Box::new(counters.refused_orders.clone()))?;
        all.register(Box::new(counters.arm_requests.clone()))?;
        all.register(Box::new(counters.arm_tokens.clone()))?;
        Ok(counters)
    }

    /// Counts one request in each of its experiment arms.
    pub fn count_arms(&self, arms: &[Arm], verdict: Verdict) {
        for it in arms {
            let labels = [it.experiment.as_str(), it.name, verdict.as_str()];
            self.arm_requests.with_label_values(&labels).inc();
        }
    }

    /// Counts the prompt tokens that an engine reports in `usage`.
    pub fn count_usage(&self, arms: &[Arm], usage: &Usage) {
        let cached = usage.prompt_tokens_details.cached_tokens;
        let prompt = usage.prompt_tokens.max(cached);
        self.prompt_tokens.inc_by(prompt);
        self.cached_tokens.inc_by(cached);
        for it in arms {
            let count = |label: &str, tokens: u64| {
                let labels = [it.experiment.as_str(), it.name, label];
                self.arm_tokens.with_label_values(&labels).inc_by(tokens);
            };
            count("yes", cached);
            count("no", prompt.saturating_sub(cached));
        }
    }

    /// Requests by kind and verdict.
    pub fn verdicts(&self) -> Vec<(String, String, u64)> {
        let families = self.requests.collect();
        let metrics = families.iter().flat_map(|it| it.get_metric());
        let label = |it: &Metric, name: &str| {
            let found = it.get_label().iter().find(|label| label.name() == name);
            found.map_or_else(String::new, |label| label.value().to_owned())
        };
        metrics
            .map(|it| {
                (label(it, "kind"), label(it, "verdict"), it.get_counter().get_value() as u64)
            })
            .collect()
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut bytes = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut bytes);
        String::from_utf8(bytes).unwrap_or_default()
    }
}
