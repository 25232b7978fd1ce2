//! What all requests of a router share.

use std::sync::Arc;

use prometheus::core::Collector;
use prometheus::proto::Metric;
use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

use crate::backend::Meter;
use crate::clock::SharedClock;
use crate::events::EventLog;
use crate::filters::Upstream;
use crate::fleet::{CrashBoard, ViewCell};
use crate::settings::Settings;

/// What all requests of a router share.
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
    /// Bytes of control calls.
    pub meter: Arc<Meter>,
    /// Requests that crashed backend servers.
    pub crashes: Arc<CrashBoard>,
    /// The clock.
    pub clock: SharedClock,
    /// Client for backend servers.
    pub http: reqwest::Client,
    /// What is known about the backend servers.
    pub upstream: Upstream,
}

/// Counters of the request path.
#[derive(Debug)]
pub struct Counters {
    registry: Registry,
    /// Requests by outcome.
    pub requests: IntCounterVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Tokens of prompts.
    pub prompt_tokens: IntCounter,
    /// Tokens of prompts that engines found cached.
    pub cached_tokens: IntCounter,
    /// Requests that the first of the rank could not take.
    pub spilled: IntCounter,
}

impl Counters {
    /// New counters with their registry.
    ///
    /// # Errors
    /// Fails when two counters have one name.
    pub fn new() -> Result<Counters, prometheus::Error> {
        let opts = |name: &str, help: &str| Opts::new(format!("filberttiller_{name}"), help);
        let counters = Counters {
            registry: Registry::new(),
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
        };
        let all = &counters.registry;
        all.register(Box::new(counters.requests.clone()))?;
        all.register(Box::new(counters.in_flight.clone()))?;
        all.register(Box::new(counters.prompt_tokens.clone()))?;
        all.register(Box::new(counters.cached_tokens.clone()))?;
        all.register(Box::new(counters.spilled.clone()))?;
        Ok(counters)
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

    /// All counters in the text format.
    pub fn text(&self) -> String {
        let mut bytes = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut bytes);
        String::from_utf8(bytes).unwrap_or_default()
    }
}
