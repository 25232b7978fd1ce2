//! Cost of orders to engines: a measurement of one, and figures for a fleet.

use std::time::{Duration, Instant};

use standins::engine::{EngineStandin, Options};
use standins::log::LogService;

use crate::backend::{EngineClient, LogClient};
use crate::capacity::network::{APPEND_RATE, LOOPBACK, RETENTION, metered_client, sample_since};
use crate::capacity::probe::SampleFuture;
use crate::capacity::role::Role;
use crate::capacity::table::{Figure, MAX_LOG_APPENDS, figure, with_target};
use crate::capacity::{Sample, Sizes, Slopes};
use crate::controllers::ORDER_STREAM;
use crate::wire::{ModelRef, OrderRecord, OrderRequest, WireOrder};

/// Log records for one order: its claim and its completion.
const RECORDS_PER_ORDER: f64 = 2.0;
/// Orders to one engine for a model version: a load, later an unload.
const ORDERS_PER_VERSION: f64 = 2.0;
/// Seconds in a day.
const DAY_S: f64 = 86_400.0;

/// Calls for `size` orders in sequence: append the claim, read it back, send the order,
/// read the load report, append the completion.
pub(crate) fn order_calls(size: usize) -> SampleFuture {
    Box::pin(async move {
        let Ok(log) = LogService::start(LOOPBACK, RETENTION, APPEND_RATE).await else {
            return Sample::default();
        };
        let Ok(engine) = EngineStandin::start(LOOPBACK, Options::default()).await else {
            return Sample::default();
        };
        let (http, meter) = metered_client();
        let engines = EngineClient::new(http.clone());
        let log = LogClient::new(http, log.addr());
        let begin = Instant::now();
        let mut next = 0;
        for i in 0..size {
            next = order(&log, &engines, &engine, (next, i as u64)).await;
        }
        sample_since(&meter, begin)
    })
}

/// Carries out one order, reading the log from offset `next`; returns the next offset.
async fn order(
    log: &LogClient,
    engines: &EngineClient,
    engine: &EngineStandin,
    (next, i): (u64, u64),
) -> u64 {
    let what = ModelRef {
        model: "assistant".to_owned(),
        version: "2027-01-15".to_owned(),
        adapter: String::new(),
    };
    // As long as the random ids of real orders.
    let id = u64::MAX - i;
    let claim = OrderRecord::Claim {
        id,
        by: "entry-100".to_owned(),
        engine: "assistant-llm-100".to_owned(),
        unload: false,
        what: what.full_name(),
    };
    let body = |it: &OrderRecord| serde_json::to_value(it).unwrap_or_default();
    let _ = log.append(ORDER_STREAM, &body(&claim)).await;
    let page = log.read(ORDER_STREAM, next, Duration::ZERO).await;
    let request = OrderRequest { fencing: next + 1, order: WireOrder::Load(what) };
    let _ = engines.order(engine.addr(), &request).await;
    let _ = engines.load(engine.addr()).await;
    let _ = log.append(ORDER_STREAM, &body(&OrderRecord::Done(id))).await;
    page.map_or(next, |it| it.next)
}

/// Figures at `sizes` if every ticket were the rollout of a model.
pub(crate) fn order_figures(slopes: &Slopes, sizes: &Sizes) -> Vec<Figure> {
    let engines = sizes.workers / sizes.models;
    let orders = sizes.tickets * engines * ORDERS_PER_VERSION / DAY_S;
    let bytes = slopes.wire_per_unit("order_calls") * orders / sizes.routers;
    let mechanism = "a claim for each order";
    let appends = (orders * RECORDS_PER_ORDER, "a second");
    let what = "appends of orders, if every ticket were a rollout";
    let each = "bytes of orders, if every ticket were a rollout";
    vec![
        with_target(figure(Role::Log, what, appends, "exact", mechanism), MAX_LOG_APPENDS),
        figure(Role::Bytes, each, (bytes, "B/s"), "order_calls", mechanism),
    ]
}
