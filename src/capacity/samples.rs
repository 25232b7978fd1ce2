//! Measurements that need no network.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::{Duration, Instant};

use peak_alloc::PeakAlloc;
use xtra::{Address, Mailbox};

use crate::capacity::Sample;
use crate::capacity::probe::Taking;
use crate::clock::SystemClock;
use crate::controllers::{Folded, Listed, Publisher, Reported};
use crate::decide::{Engine, EntryQuery, EntryRouter, PlaceQuery, entry_order, hash_bytes, place};
use crate::events::{Code, EventLog, Fields, discard_logger};
use crate::fleet::ViewCell;
use crate::state::{InForce, Kind, Object, OrganisationSpec, Spec, Ticket};
use crate::wire::{Instance, LoadReport, Role, Standing, WireInForce};

/// Calls of one timed loop.
const CALLS: u32 = 200;
/// Objects that the tickets of `fold_tickets` take turns to change.
const TOUCHED: usize = 200;
/// Time for a stopped actor to give its heap back.
const SETTLE: Duration = Duration::from_millis(5);
/// Any address; nothing connects to it.
const NOWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

/// Runs `work` and tells its result, heap held by it and time.
fn watched<T>(work: impl FnOnce() -> T) -> (T, Sample) {
    let before = PeakAlloc.current_usage();
    let begin = Instant::now();
    let result = work();
    let micros = begin.elapsed().as_secs_f64() * 1e6;
    let bytes = PeakAlloc.current_usage().saturating_sub(before) as f64;
    (result, Sample { bytes, micros, wire: 0.0 })
}

/// A sample that needs no waiting.
fn at_once(sample: Sample) -> Taking {
    Box::pin(std::future::ready(sample))
}

/// A ticket that changes the organisation with `index`.
pub(crate) fn ticket(number: u64, index: usize) -> Ticket {
    let spec = OrganisationSpec { rate: Some(number as f64), ..OrganisationSpec::default() };
    Ticket {
        number,
        author: "capacity".to_owned(),
        note: String::new(),
        objects: vec![Object {
            kind: Kind::Organisation,
            name: format!("organisation-{index}"),
            spec: Some(Spec::Organisation(spec)),
        }],
        digest: number,
    }
}

fn state(objects: usize) -> InForce {
    let mut state = InForce::default();
    for i in 0..objects {
        state.fold(i as u64, Ok(ticket(i as u64 + 1, i)));
    }
    state
}

/// Folding many tickets over few objects.
pub(crate) fn fold_tickets(size: usize) -> Taking {
    let tickets: Vec<_> = (0..size).map(|i| ticket(i as u64 + 1, i % TOUCHED)).collect();
    let (held, sample) = watched(|| {
        let mut state = InForce::default();
        for (i, it) in tickets.iter().enumerate() {
            state.fold(i as u64, Ok(it.clone()));
        }
        state
    });
    drop(held);
    at_once(sample)
}

/// Objects in force, one ticket each.
pub(crate) fn state_objects(size: usize) -> Taking {
    let (held, sample) = watched(|| state(size));
    drop(held);
    at_once(sample)
}

/// A snapshot of the state, as routers send it to each other.
pub(crate) fn snapshot_objects(size: usize) -> Taking {
    let state = state(size);
    let (bytes, sample) =
        watched(|| rmp_serde::to_vec_named(&WireInForce::from(&state)).map_or(0, |it| it.len()));
    at_once(Sample { bytes: 0.0, wire: bytes as f64, ..sample })
}

/// A publisher that knows `engines` and `routers` and has `objects` in force.
async fn publisher(engines: usize, routers: usize, objects: usize) -> Address<Publisher> {
    let events = EventLog::new("capacity", Arc::new(SystemClock), discard_logger());
    let actor = Publisher::new("router-0", Arc::new(ViewCell::default()), Arc::new(events));
    let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
    let engines = (0..engines).map(|i| instance(i, Role::Engine));
    let routers = (0..routers).map(|i| instance(i, Role::Entry));
    let instances = engines.chain(routers).collect();
    let _ = address.send(Listed { instances }).await;
    let records = (0..objects).map(|i| (i as u64, Ok(ticket(i as u64 + 1, i)))).collect();
    let _ = address.send(Folded { records }).await;
    address
}

pub(crate) fn instance(index: usize, role: Role) -> Instance {
    let name = if role == Role::Entry { "router" } else { "engine" };
    Instance {
        name: format!("{name}-{index}"),
        address: NOWHERE,
        control: (role == Role::Entry).then_some(NOWHERE),
        domain: format!("domain-{}", index % 8),
        role,
        pool: "pool".to_owned(),
        standing: Standing::Live,
    }
}

/// Time and heap for each load report that changes the view.
async fn published(engines: usize, routers: usize, objects: usize) -> Sample {
    let before = PeakAlloc.current_usage();
    let address = publisher(engines, routers, objects).await;
    let bytes = PeakAlloc.current_usage().saturating_sub(before) as f64;
    let begin = Instant::now();
    for i in 0..CALLS {
        let report = LoadReport { tokens: u64::from(i), ..LoadReport::default() };
        let name = format!("engine-{}", i as usize % engines.max(1));
        let _ = address.send(Reported { name, report }).await;
    }
    let micros = begin.elapsed().as_secs_f64() * 1e6 / f64::from(CALLS);
    let gone = address.join();
    drop(address);
    gone.await;
    tokio::time::sleep(SETTLE).await;
    Sample { bytes, micros, wire: 0.0 }
}

/// One load report, by engines in the view.
pub(crate) fn publish_engines(size: usize) -> Taking {
    Box::pin(published(size, 4, 10))
}

/// One load report, by routers in the view.
pub(crate) fn publish_routers(size: usize) -> Taking {
    Box::pin(published(10, size, 10))
}

/// One load report, by objects in force.
pub(crate) fn publish_objects(size: usize) -> Taking {
    Box::pin(published(10, 4, size))
}

/// One placement, by engines of the pool.
pub(crate) fn place_engines(size: usize) -> Taking {
    let engine = |i: usize| Engine {
        id: hash_bytes(&i.to_le_bytes()),
        incarnation: 1,
        weight: 1.0,
        leaving: false,
        reported: 1_000 + i as u64,
        sent: Arc::new(AtomicU64::new(0)),
    };
    let engines: Vec<_> = (0..size).map(engine).collect();
    let (_, sample) = watched(|| {
        for key in 0..CALLS {
            let key = u64::from(key);
            let query = PlaceQuery { key, hint: None, cost: 100, bound: 1.25, tried: &[] };
            black_box(place(&engines, &query));
        }
    });
    at_once(Sample { micros: sample.micros / f64::from(CALLS), ..Sample::default() })
}

/// One answer about addresses, by routers.
pub(crate) fn entry_routers(size: usize) -> Taking {
    let domains: Vec<String> = (0..8).map(|i| format!("domain-{i}")).collect();
    let router = |i: usize| EntryRouter {
        id: hash_bytes(&i.to_le_bytes()),
        domain: &domains[i % domains.len()],
        leaving: false,
    };
    let routers: Vec<_> = (0..size).map(router).collect();
    let (_, sample) = watched(|| {
        for key in 0..CALLS {
            let query = EntryQuery { organisation: 1, chat: u64::from(key), rate: None, most: 3 };
            black_box(entry_order(&routers, &query));
        }
    });
    at_once(Sample { micros: sample.micros / f64::from(CALLS), ..Sample::default() })
}

/// Events recorded, with subjects and details of usual length.
pub(crate) fn ring_events(size: usize) -> Taking {
    let events = EventLog::new("capacity", Arc::new(SystemClock), discard_logger());
    let subject = "0123456789abcdef0123456789abcdef";
    let (_, sample) = watched(|| {
        for _ in 0..size {
            events.record(Code::Placed, Fields { subject, detail: "assistant-llm-7" });
        }
    });
    at_once(sample)
}
