//! Measurements of control calls, against stand-ins on loopback.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use standins::engine::{EngineStandin, Options};
use standins::list::{Entry, InstanceList};
use standins::log::LogService;

use crate::backend::{ControlHttp, EngineClient, ListClient, LogClient, TrafficMeter};
use crate::capacity::Sample;
use crate::capacity::probe::SampleFuture;
use crate::controllers::TICKET_STREAM;

/// Any free port on loopback.
pub(super) const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Appends a second that the stand-in of the log takes.
pub(super) const APPEND_RATE: u32 = 1_000_000;
/// How long the stand-in of the log keeps records.
pub(super) const RETENTION: Duration = Duration::from_secs(600);

/// A client whose bytes are metered_client.
pub(super) fn metered_client() -> (ControlHttp, Arc<TrafficMeter>) {
    let meter: Arc<TrafficMeter> = Arc::default();
    let http = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
    (ControlHttp::new(http, Arc::clone(&meter)), meter)
}

/// Bytes and time since `begin`.
pub(super) fn sample_since(meter: &TrafficMeter, begin: Instant) -> Sample {
    let micros = begin.elapsed().as_secs_f64() * 1e6;
    Sample { bytes: 0.0, micros, wire: meter.total() as f64 }
}

/// One look at the load of every engine.
pub(crate) fn poll_engines(size: usize) -> SampleFuture {
    Box::pin(async move {
        let mut engines = Vec::new();
        for _ in 0..size {
            engines.extend(EngineStandin::start(LOOPBACK, Options::default()).await.ok());
        }
        let (http, meter) = metered_client();
        let client = EngineClient::new(http);
        let begin = Instant::now();
        for it in &engines {
            let _ = client.load(it.addr()).await;
        }
        sample_since(&meter, begin)
    })
}

/// One look at the instance list.
pub(crate) fn list_instances(size: usize) -> SampleFuture {
    Box::pin(async move {
        let Ok(list) = InstanceList::start(LOOPBACK).await else {
            return Sample::default();
        };
        for i in 0..size {
            list.put(Entry {
                name: format!("engine-{i}"),
                address: LOOPBACK,
                control: None,
                domain: format!("domain-{}", i % 8),
                role: standins::list::Role::Engine,
                pool: "assistant-llm".to_owned(),
                standing: standins::list::InstanceState::Live,
            });
        }
        let (http, meter) = metered_client();
        let begin = Instant::now();
        let _ = ListClient::new(http, list.addr()).read().await;
        sample_since(&meter, begin)
    })
}

/// Reading tickets of one object each from the log.
pub(crate) fn log_tickets(size: usize) -> SampleFuture {
    Box::pin(async move {
        let Ok(log) = LogService::start(LOOPBACK, RETENTION, APPEND_RATE).await else {
            return Sample::default();
        };
        let (http, _) = metered_client();
        let writer = LogClient::new(http, log.addr());
        for i in 0..size {
            let ticket = serde_json::json!({
                "version": 1, "number": i + 1, "author": "capacity", "note": "measured",
                "objects": [{
                    "kind": "organisation", "name": format!("organisation-{i}"),
                    "spec": { "rate": i, "weight": 2.0 },
                }],
            });
            let _ = writer.append(TICKET_STREAM, &ticket).await;
        }
        let (http, meter) = metered_client();
        let begin = Instant::now();
        let _ = LogClient::new(http, log.addr()).read(TICKET_STREAM, 0, Duration::ZERO).await;
        sample_since(&meter, begin)
    })
}
