//! Metrics computed from the state of a router at each scrape.

use prometheus::{
    Counter, Encoder, Gauge, GaugeVec, IntCounter, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

use crate::controllers::wanted_items;
use crate::daemon::CONTROL_THREAD;
use crate::decide::Engine;
use crate::filters::Shared;
use crate::fleet::View;
use crate::metrics::{resident_bytes, thread_time};

/// The state of a router as metrics in the Prometheus text format.
pub fn gauges(shared: &Shared) -> String {
    let registry = Registry::new();
    let mut bytes = Vec::new();
    let result = register_all(&registry, shared);
    if result.is_ok() {
        let _ = TextEncoder::new().encode(&registry.gather(), &mut bytes);
    }
    String::from_utf8(bytes).unwrap_or_default()
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(format!("filberttiller_{name}"), help)
}

fn register_all(registry: &Registry, shared: &Shared) -> Result<(), prometheus::Error> {
    let view = shared.view.load();
    let events = shared.events.totals();
    gauge(registry, "ready", "1 with a state in force, else 0", i64::from(view.ready))?;
    let next = i64::try_from(view.state.next).unwrap_or(i64::MAX);
    gauge(registry, "state_offset", "Offset of the first record not yet folded", next)?;
    let crashes = shared.crashes.current(shared.clock.now()).len();
    let help = "Crashes of backend servers blamed on requests";
    gauge(registry, "request_crashes", help, crashes as i64)?;
    let help = "Bytes of control calls, both ways, heads included";
    counter(registry, "control_bytes_total", help, shared.meter.total())?;
    counter(registry, "events_total", "Events recorded", events.recorded)?;
    let help = "Events dropped from the store because there was no room";
    counter(registry, "dropped_events_total", help, events.dropped)?;
    let items = wanted_items(&view);
    let missing: usize = items.iter().map(|it| it.wanted.saturating_sub(it.held.len())).sum();
    let help = "Copies of models and adapters that engines are ordered to hold and do not";
    gauge(registry, "missing_copies", help, missing as i64)?;
    let memory = i64::try_from(resident_bytes()).unwrap_or(i64::MAX);
    gauge(registry, "memory_bytes", "Memory in use by the whole process", memory)?;
    let it = Counter::with_opts(opts("control_seconds_total", "Processor time of control"))?;
    it.inc_by(thread_time(CONTROL_THREAD).as_secs_f64());
    registry.register(Box::new(it))?;
    instances(registry, &view)?;
    load_skew(registry, &view)?;
    let it = Gauge::with_opts(opts("uptime_seconds", "Time since the start"))?;
    it.set(shared.events.age().as_secs_f64());
    registry.register(Box::new(it))
}

fn gauge(registry: &Registry, name: &str, help: &str, value: i64) -> Result<(), prometheus::Error> {
    let it = IntGauge::with_opts(opts(name, help))?;
    it.set(value);
    registry.register(Box::new(it))
}

fn counter(
    registry: &Registry,
    name: &str,
    help: &str,
    value: u64,
) -> Result<(), prometheus::Error> {
    let it = IntCounter::with_opts(opts(name, help))?;
    it.inc_by(value);
    registry.register(Box::new(it))
}

/// Registers the number of known instances by pool and state; routers are the pool
/// `entry`.
fn instances(registry: &Registry, view: &View) -> Result<(), prometheus::Error> {
    let help = "Known instances by pool and standing; routers are the pool `entry`";
    let it = IntGaugeVec::new(opts("instances", help), &["pool", "standing"])?;
    let count = |pool: &str, leaving: bool| {
        let standing = if leaving { "leaving" } else { "live" };
        it.with_label_values(&[pool, standing]).inc();
    };
    view.routers.iter().for_each(|it| count("entry", it.leaving));
    for (name, pool) in &view.pools {
        pool.engines.iter().for_each(|it| count(name, it.leaving));
    }
    registry.register(Box::new(it))
}

/// Registers the load of the busiest backend server of each pool, divided by the mean
/// load of the pool.
fn load_skew(registry: &Registry, view: &View) -> Result<(), prometheus::Error> {
    let help = "Estimated load of the busiest backend server over the mean of its pool";
    let it = GaugeVec::new(opts("load_skew_ratio", help), &["pool"])?;
    for (name, pool) in &view.pools {
        let loads: Vec<f64> =
            pool.engines.iter().filter(|it| !it.leaving).map(Engine::load).collect();
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        let max = loads.iter().copied().fold(0.0, f64::max);
        it.with_label_values(&[name]).set(if mean > 0.0 { max / mean } else { 1.0 });
    }
    registry.register(Box::new(it))
}
