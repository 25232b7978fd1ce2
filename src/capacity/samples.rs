//! Measurements that need no network.

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

/// Calls of one timed loop.
const CALLS: u32 = 200;
/// Calls of one timed loop of a slow call.
const RARE_CALLS: u32 = 10;
/// Routers of the target size.
const TARGET_ROUTERS: usize = 400;
/// Control bytes a second that stop nothing.
const UNLIMITED_BUDGET: u64 = 1 << 40;
/// Objects that the tickets of `fold_tickets` take turns to change.
const FOLDED_OBJECTS: usize = 200;
/// Time for a stopped actor to give its heap back.
const SETTLE: Duration = Duration::from_millis(5);
/// Any address; nothing connects to it.
const UNUSED_ADDR: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

/// Runs `work` and tells its result, heap held by it and time.
fn measured<T>(work: impl FnOnce() -> T) -> (T, Sample) {
    let before = PeakAlloc.current_usage();
    let begin = Instant::now();
    let result = work();
    let micros = begin.elapsed().as_secs_f64() * 1e6;
    let bytes = PeakAlloc.current_usage().saturating_sub(before) as f64;
    (result, Sample { bytes, micros, wire: 0.0 })
}

/// A sample that needs no waiting.
fn ready_sample(sample: Sample) -> SampleFuture {
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
pub(crate) fn fold_tickets(size: usize) -> SampleFuture {
    let tickets: Vec<_> = (0..size).map(|i| ticket(i as u64 + 1, i % FOLDED_OBJECTS)).collect();
    let (held, sample) = measured(|| {
        let mut state = InForce::default();
        for (i, it) in tickets.iter().enumerate() {
            state.fold(i as u64, Ok(it.clone()));
        }
        state
    });
    drop(held);
    ready_sample(sample)
}

/// Objects in force, one ticket each.
pub(crate) fn state_objects(size: usize) -> SampleFuture {
    let (held, sample) = measured(|| state(size));
    drop(held);
    ready_sample(sample)
}

/// A snapshot of the state, as routers send it to each other.
pub(crate) fn snapshot_objects(size: usize) -> SampleFuture {
    let state = state(size);
    let (bytes, sample) =
        measured(|| rmp_serde::to_vec_named(&WireInForce::from(&state)).map_or(0, |it| it.len()));
    ready_sample(Sample { bytes: 0.0, wire: bytes as f64, ..sample })
}

/// A publisher that knows `engines` and `routers` and has `objects` in force.
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

/// Stops a publisher and waits until its heap is given back.
async fn stop(address: Address<Publisher>) {
    let gone = address.join();
    drop(address);
    gone.await;
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

/// Time of one publication of the view, and the heap of all that is known.
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

/// Choosing which engines to ask, by engines, before 400 routers.
pub(crate) fn targets_engines(size: usize) -> SampleFuture {
    Box::pin(async move {
        let address = publisher(size, TARGET_ROUTERS, 10).await;
        let begin = Instant::now();
        for _ in 0..RARE_CALLS {
            let _ = address.send(LoadTargets).await;
        }
        let micros = begin.elapsed().as_secs_f64() * 1e6 / f64::from(RARE_CALLS);
        stop(address).await;
        Sample { micros, ..Sample::default() }
    })
}

/// Composing one exchange, by routers.
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

/// Bytes of one message between routers, by load rows in it.
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

/// Handling one exchange that a peer began and that brings new loads, by engines;
/// the publication that follows is part of it.
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

/// A message of another router with loads that nobody knows yet.
async fn message(sender: &Address<Publisher>, call: u64) -> Option<Gossip> {
    for i in 0..MAX_LOAD_ENTRIES {
        let report = report(i, call);
        let _ = sender.send(LoadReported { name: format!("engine-{i}"), report }).await;
    }
    let mut message = sender.send(NextExchange { due: true }).await.ok()??.message;
    message.from.name = "router-1".to_owned();
    Some(message)
}

/// What an engine under load reports at one of several calls; engines differ, so
/// that messages do not shrink more than true ones.
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

/// One publication, by engines in the view.
pub(crate) fn publish_engines(size: usize) -> SampleFuture {
    Box::pin(published(size, 4, 10))
}

/// One publication, by routers in the view.
pub(crate) fn publish_routers(size: usize) -> SampleFuture {
    Box::pin(published(10, size, 10))
}

/// One publication, by objects in force.
pub(crate) fn publish_objects(size: usize) -> SampleFuture {
    Box::pin(published(10, 4, size))
}

/// One placement, by engines of the pool.
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

/// One answer about addresses, by routers.
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

/// Events recorded, with subjects and details of usual length.
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

/// A table of chats with room for as many.
pub(crate) fn chat_table(size: usize) -> SampleFuture {
    let (held, sample) = measured(|| ChatTable::new(size));
    drop(held);
    ready_sample(Sample { micros: 0.0, ..sample })
}
