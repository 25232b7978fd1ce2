//! Measurements without network.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use peak_alloc::PeakAlloc;
use xtra::{Address, Mailbox};

use crate::capacity::Sample;
use crate::capacity::probe::SampleFuture;
use crate::clock::{SharedClock, SystemClock};
use crate::controllers::{
    Flush, IncomingExchange, ListRead, LoadReported, LoadTargets, MAX_LOAD_ENTRIES, NextExchange,
    Publisher, PublisherParts, RecordsRead, TicketRecord,
};
use crate::decide::{
    ChatTable, Engine, EntryQuery, EntryRouter, PlaceQuery, entry_order, hash_bytes, place,
};
use crate::events::{Code, EventLog, Fields, discard_logger};
use crate::fleet::{Budget, CrashTable, ViewCell};
use crate::settings::{Crashes, StateSync};
use crate::state::{InForce, Kind, Object, OrganisationSpec, Spec, Ticket};
use crate::wire::{
    Gossip, Instance, InstanceState, LoadReport, MemberStatus, Role, WireInForce, WireMember,
    pack_gossip,
};

/// Calls in a timed loop.
const CALLS: u32 = 200;
/// Calls in a timed loop of a slow call.
const SLOW_CALLS: u32 = 10;
/// Routers in the target fleet.
const TARGET_ROUTERS: usize = 400;
/// Control bytes per second that are never used up.
const UNLIMITED_BUDGET: u64 = 1 << 40;
/// Objects that the tickets of `fold_tickets` change in rotation.
const FOLDED_OBJECTS: usize = 200;
/// Time for a stopped actor to free its heap.
const SETTLE: Duration = Duration::from_millis(5);
/// A placeholder address; nothing connects to it.
const UNUSED_ADDR: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

/// Runs `work`; returns its result, and the heap that it retains and its time as a sample.
fn measured<T>(work: impl FnOnce() -> T) -> (T, Sample) {
    let before = PeakAlloc.current_usage();
    let begin = Instant::now();
    let result = work();
    let micros = begin.elapsed().as_secs_f64() * 1e6;
    let bytes = PeakAlloc.current_usage().saturating_sub(before) as f64;
    (result, Sample { bytes, micros, wire: 0.0 })
}

/// A future that returns `sample` at once.
fn ready_sample(sample: Sample) -> SampleFuture {
    Box::pin(std::future::ready(sample))
}

/// A ticket that changes the organisation number `index`.
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

/// A state with `objects` objects in force, one ticket each.
fn state(objects: usize) -> InForce {
    let mut state = InForce::default();
    for i in 0..objects {
        state.fold(i as u64, Ok(ticket(i as u64 + 1, i)));
    }
    state
}

/// Folding of `size` tickets over a fixed number of objects.
pub(crate) fn fold_tickets(size: usize) -> SampleFuture {
    let tickets: Vec<_> = (0..size).map(|i| ticket(i as u64 + 1, i % FOLDED_OBJECTS)).collect();
    let (retained, sample) = measured(|| {
        let mut state = InForce::default();
        for (i, it) in tickets.iter().enumerate() {
            state.fold(i as u64, Ok(it.clone()));
        }
        state
    });
    drop(retained);
    ready_sample(sample)
}

/// Building a state of `size` objects, one ticket each.
pub(crate) fn state_objects(size: usize) -> SampleFuture {
    let (retained, sample) = measured(|| state(size));
    drop(retained);
    ready_sample(sample)
}

/// A snapshot of the state, as routers send it to each other.
pub(crate) fn snapshot_objects(size: usize) -> SampleFuture {
    let state = state(size);
    let (bytes, sample) =
        measured(|| rmp_serde::to_vec_named(&WireInForce::from(&state)).map_or(0, |it| it.len()));
    ready_sample(Sample { bytes: 0.0, wire: bytes as f64, ..sample })
}

/// A publisher that knows `engines` engines and `routers` routers and has `objects`
/// objects in force.
async fn publisher(engines: usize, routers: usize, objects: usize) -> Address<Publisher> {
    let clock: SharedClock = Arc::new(SystemClock);
    let events = EventLog::new("capacity", Arc::clone(&clock), discard_logger());
    let parts = PublisherParts {
        own: WireMember {
            name: "router-0".to_owned(),
            incarnation: 1,
            status: MemberStatus::Alive,
            address: UNUSED_ADDR,
            control: UNUSED_ADDR,
            domain: "domain-0".to_owned(),
        },
        cell: Arc::new(ViewCell::default()),
        events: Arc::new(events),
        clock: Arc::clone(&clock),
        marks: Arc::default(),
        crashes: Arc::new(CrashTable::new(Crashes::default().release)),
        budget: Arc::new(Budget::new(UNLIMITED_BUDGET, clock)),
        settings: StateSync::default(),
        seeds: Vec::new(),
    };
    let actor = Publisher::new(parts, Arc::default());
    let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
    let engines = (0..engines).map(|i| instance(i, Role::Engine));
    let routers = (0..routers).map(|i| instance(i, Role::Entry));
    let instances = engines.chain(routers).collect();
    let _ = address.send(ListRead { instances }).await;
    let record = |i: usize| TicketRecord {
        offset: i as u64,
        text: String::new(),
        ticket: Ok(ticket(i as u64 + 1, i)),
    };
    let _ = address.send(RecordsRead { records: (0..objects).map(record).collect() }).await;
    address
}

/// Stops a publisher and waits until its heap is freed.
async fn stop(address: Address<Publisher>) {
    let stopped = address.join();
    drop(address);
    stopped.await;
    tokio::time::sleep(SETTLE).await;
}

pub(crate) fn instance(index: usize, role: Role) -> Instance {
    let name = if role == Role::Entry { "router" } else { "engine" };
    Instance {
        name: format!("{name}-{index}"),
        address: UNUSED_ADDR,
        control: (role == Role::Entry).then_some(UNUSED_ADDR),
        domain: format!("domain-{}", index % 8),
        role,
        pool: "pool".to_owned(),
        standing: InstanceState::Live,
    }
}

/// Time of one publication of the view, and the heap of the publisher's state.
async fn published(engines: usize, routers: usize, objects: usize) -> Sample {
    let before = PeakAlloc.current_usage();
    let address = publisher(engines, routers, objects).await;
    let bytes = PeakAlloc.current_usage().saturating_sub(before) as f64;
    let begin = Instant::now();
    for _ in 0..CALLS {
        let _ = address.send(Flush).await;
    }
    let micros = begin.elapsed().as_secs_f64() * 1e6 / f64::from(CALLS);
    stop(address).await;
    Sample { bytes, micros, wire: 0.0 }
}

/// Selection of the engines to poll, by number of engines, with 400 routers.
pub(crate) fn targets_engines(size: usize) -> SampleFuture {
    Box::pin(async move {
        let address = publisher(size, TARGET_ROUTERS, 10).await;
        let begin = Instant::now();
        for _ in 0..SLOW_CALLS {
            let _ = address.send(LoadTargets).await;
        }
        let micros = begin.elapsed().as_secs_f64() * 1e6 / f64::from(SLOW_CALLS);
        stop(address).await;
        Sample { micros, ..Sample::default() }
    })
}

/// Composition of one gossip exchange, by number of routers.
pub(crate) fn round_routers(size: usize) -> SampleFuture {
    Box::pin(async move {
        let address = publisher(10, size, 10).await;
        let begin = Instant::now();
        for _ in 0..CALLS {
            let _ = address.send(NextExchange { due: true }).await;
        }
        let micros = begin.elapsed().as_secs_f64() * 1e6 / f64::from(CALLS);
        stop(address).await;
        Sample { micros, ..Sample::default() }
    })
}

/// Bytes of one gossip message, by the load entries in it.
pub(crate) fn message_loads(size: usize) -> SampleFuture {
    Box::pin(async move {
        let address = publisher(size, 4, 10).await;
        let _ = address.send(NextExchange { due: true }).await;
        for i in 0..size {
            let report = report(i, 0);
            let _ = address.send(LoadReported { name: format!("engine-{i}"), report }).await;
        }
        let round = address.send(NextExchange { due: true }).await.ok().flatten();
        let bytes = round.and_then(|it| pack_gossip(&it.message).ok());
        stop(address).await;
        Sample { wire: bytes.map_or(0.0, |it| it.len() as f64), ..Sample::default() }
    })
}

/// Handling of one exchange that a peer started and that carries new loads, by number of
/// engines; includes the publication that follows.
pub(crate) fn receive_engines(size: usize) -> SampleFuture {
    Box::pin(async move {
        let sender = publisher(size, 4, 10).await;
        let receiver = publisher(size, 4, 10).await;
        let mut spent = Duration::ZERO;
        for call in 0..CALLS {
            let Some(message) = message(&sender, u64::from(call)).await else {
                return Sample::default();
            };
            let begin = Instant::now();
            let _ = receiver.send(IncomingExchange { message }).await;
            spent += begin.elapsed();
        }
        stop(sender).await;
        stop(receiver).await;
        let micros = spent.as_secs_f64() * 1e6 / f64::from(CALLS);
        Sample { micros, ..Sample::default() }
    })
}

/// A message from another router with loads that the receiver does not know.
async fn message(sender: &Address<Publisher>, call: u64) -> Option<Gossip> {
    for i in 0..MAX_LOAD_ENTRIES {
        let report = report(i, call);
        let _ = sender.send(LoadReported { name: format!("engine-{i}"), report }).await;
    }
    let mut message = sender.send(NextExchange { due: true }).await.ok()??.message;
    message.from.name = "router-1".to_owned();
    Some(message)
}

/// The load report of an engine under load at call number `call`. Engines differ, so that
/// messages do not pack smaller than real ones.
fn report(engine: usize, call: u64) -> LoadReport {
    let noise = hash_bytes(&engine.to_le_bytes());
    LoadReport {
        incarnation: 1_700_000_000_000 + noise % 1_000_000_000,
        tokens: 20_000 + noise % 40_000 + call,
        running: 8 + noise % 9,
        queued: noise % 5,
        slots: 16,
        ..LoadReport::default()
    }
}

/// One publication, by number of engines in the view.
pub(crate) fn publish_engines(size: usize) -> SampleFuture {
    Box::pin(published(size, 4, 10))
}

/// One publication, by number of routers in the view.
pub(crate) fn publish_routers(size: usize) -> SampleFuture {
    Box::pin(published(10, size, 10))
}

/// One publication, by number of objects in force.
pub(crate) fn publish_objects(size: usize) -> SampleFuture {
    Box::pin(published(10, 4, size))
}

/// One placement, by number of engines in the pool.
pub(crate) fn place_engines(size: usize) -> SampleFuture {
    let engine = |i: usize| Engine {
        id: hash_bytes(&i.to_le_bytes()),
        incarnation: 1,
        weight: 1.0,
        leaving: false,
        reported: 1_000 + i as u64,
        sent: Arc::default(),
    };
    let engines: Vec<_> = (0..size).map(engine).collect();
    let (_, sample) = measured(|| {
        for key in 0..CALLS {
            let key = u64::from(key);
            let query = PlaceQuery {
                key,
                hint: None,
                cost: 100,
                warm_cost: 100,
                bound: 1.25,
                attempted: &[],
            };
            black_box(place(&engines, &query));
        }
    });
    ready_sample(Sample { micros: sample.micros / f64::from(CALLS), ..Sample::default() })
}

/// One selection of router addresses for a caller, by number of routers.
pub(crate) fn entry_routers(size: usize) -> SampleFuture {
    let domains: Vec<String> = (0..8).map(|i| format!("domain-{i}")).collect();
    let router = |i: usize| EntryRouter {
        id: hash_bytes(&i.to_le_bytes()),
        domain: &domains[i % domains.len()],
        leaving: false,
    };
    let routers: Vec<_> = (0..size).map(router).collect();
    let (_, sample) = measured(|| {
        for key in 0..CALLS {
            let query =
                EntryQuery { organisation: 1, chat: u64::from(key), rate: None, max_addresses: 3 };
            black_box(entry_order(&routers, &query));
        }
    });
    ready_sample(Sample { micros: sample.micros / f64::from(CALLS), ..Sample::default() })
}

/// Recording of `size` events, with subjects and details of typical length.
pub(crate) fn ring_events(size: usize) -> SampleFuture {
    let events = EventLog::new("capacity", Arc::new(SystemClock), discard_logger());
    let subject = "0123456789abcdef0123456789abcdef";
    let (_, sample) = measured(|| {
        for _ in 0..size {
            events.record(Code::Placed, Fields { subject, detail: "assistant-llm-7" });
        }
    });
    ready_sample(sample)
}

/// A chat table with a capacity of `size` chats.
pub(crate) fn chat_table(size: usize) -> SampleFuture {
    let (retained, sample) = measured(|| ChatTable::new(size));
    drop(retained);
    ready_sample(Sample { micros: 0.0, ..sample })
}
