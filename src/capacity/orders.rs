//! Orders to engines: what one takes, and all of them at a given size.

use std::time::{Duration, Instant};

use standins::engine::{EngineStandin, Options};
use standins::log::LogService;

use crate::backend::{EngineClient, LogClient};
use crate::capacity::network::{APPEND_RATE, LOOPBACK, RETENTION, metered_client, sample_since};
use crate::capacity::probe::SampleFuture;
use crate::capacity::role::Role;
use crate::capacity::table::{Figure, LOG_APPENDS, figure, with_target};
use crate::capacity::{Sample, Sizes, Slopes};
use crate::controllers::ORDER_STREAM;
use crate::wire::{Loaded, OrderRecord, OrderRequest, WireOrder};

/// Records for one order: a claim and its end.
const RECORDS: f64 = 2.0;
/// Orders of a version to one engine: a load, later an unload.
const ORDERS: f64 = 2.0;
/// Seconds of a day.
const DAY_S: f64 = 86_400.0;

/// Calls of orders one after the other: claim, read back, order, report, end.
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

/// One order after reading from offset `next` on; returns the next offset.
async fn order(
    log: &LogClient,
    engines: &EngineClient,
    engine: &EngineStandin,
    (next, i): (u64, u64),
) -> u64 {
    let what = Loaded {
        model: "assistant".to_owned(),
        version: "2027-01-15".to_owned(),
        adapter: String::new(),
    };
    // Ids are random numbers of full length.
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

/// Figures at a given size, were every ticket the rollout of one model.
pub(crate) fn order_figures(slopes: &Slopes, sizes: &Sizes) -> Vec<Figure> {
    let engines = sizes.workers / sizes.models;
    let orders = sizes.tickets * engines * ORDERS / DAY_S;
    let bytes = slopes.wire_per_unit("order_calls") * orders / sizes.routers;
    let mechanism = "a claim for each order";
    let appends = (orders * RECORDS, "a second");
    let what = "appends of orders, were every ticket a rollout";
    let each = "bytes of orders, were every ticket a rollout";
    vec![
        with_target(figure(Role::Log, what, appends, "exact", mechanism), LOG_APPENDS),
        figure(Role::Bytes, each, (bytes, "B/s"), "order_calls", mechanism),
    ]
}
