//! What spreads between routers: size and content of the messages, leaving marks of
//! many backend servers, turns at the instance list.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use filberttiller::clock::{Clock, ManualClock};
use filberttiller::controllers::{
    IncomingExchange, ListRead, LoadReported, Publisher, PublisherParts, RecordsRead, TicketRecord,
    slot_delay,
};
use filberttiller::decide::hash_bytes;
use filberttiller::demo::{Caller, ChatTurn, Fleet, FleetOptions};
use filberttiller::events::{EventLog, discard_logger};
use filberttiller::fleet::{Budget, CrashTable, LeavingMark, LeavingMarks, Purpose, ViewCell};
use filberttiller::settings::StateSync;
use filberttiller::wire::{
    Gossip, Instance, InstanceState, LoadReport, MemberStatus, Role, WireMember, pack_gossip,
    unpack_gossip,
};
use proptest::prelude::*;
use rstest::rstest;
use standins::engine::Faults as EngineFaults;
use standins::list::Faults;
use xtra::{Address, Mailbox};

use crate::decoders::fixed;
use crate::support::{empty_message, question, start};

/// Control bytes of a router in a second.
const RATE: usize = 4_096;
/// Messages of one router on a tree with three branches: one in, three out.
const MESSAGES: usize = 4;
/// Backend servers of the fleet, and those of the failure domain that leaves.
const SERVERS: usize = 790;
const LEAVING: usize = 100;
/// How long a crash counts.
const RELEASE: Duration = Duration::from_secs(600);
/// Tickets of a storm.
const STORM: u64 = 100;

fn member(name: &str) -> WireMember {
    let address = "127.0.0.1:1".parse().unwrap();
    WireMember {
        name: name.to_owned(),
        incarnation: 1,
        status: MemberStatus::Alive,
        address,
        control: address,
        domain: "luzon-a".to_owned(),
    }
}

fn engine(index: usize, pool: &str) -> Instance {
    Instance {
        name: format!("engine-{index}"),
        address: "127.0.0.1:1".parse().unwrap(),
        control: None,
        domain: "luzon-a".to_owned(),
        role: Role::Engine,
        pool: pool.to_owned(),
        standing: InstanceState::Live,
    }
}

/// A router's control state without a network.
struct Node {
    publisher: Address<Publisher>,
    marks: Arc<LeavingMarks>,
    clock: Arc<ManualClock>,
    cell: Arc<ViewCell>,
}

impl Node {
    fn new(name: &str) -> Node {
        let clock = Arc::new(ManualClock::new());
        let marks: Arc<LeavingMarks> = Arc::default();
        let cell: Arc<ViewCell> = Arc::default();
        let parts = PublisherParts {
            own: member(name),
            cell: Arc::clone(&cell),
            events: Arc::new(EventLog::new(name, clock.clone(), discard_logger())),
            clock: clock.clone(),
            marks: Arc::clone(&marks),
            crashes: Arc::new(CrashTable::new(RELEASE)),
            budget: Arc::new(Budget::new(RATE as u64, clock.clone())),
            settings: StateSync::default(),
            seeds: Vec::new(),
        };
        let publisher =
            xtra::spawn_tokio(Publisher::new(parts, Arc::default()), Mailbox::unbounded());
        Node { publisher, marks, clock, cell }
    }

    async fn list(&self, servers: usize) {
        let instances = (0..servers).map(|it| engine(it, "p")).collect();
        self.publisher.send(ListRead { instances }).await.unwrap();
    }

    async fn report(&self, index: usize, incarnation: u64) {
        let report = LoadReport { incarnation, ..LoadReport::default() };
        let name = format!("engine-{index}");
        self.publisher.send(LoadReported { name, report }).await.unwrap();
    }

    fn mark(&self, indexes: impl Iterator<Item = usize>, incarnation: u64) {
        for index in indexes {
            let remaining = Duration::from_secs(30);
            let mark = LeavingMark { name: format!("engine-{index}"), incarnation, remaining };
            assert!(self.marks.insert(&mark, self.clock.now()));
        }
    }

    fn held(&self) -> BTreeSet<usize> {
        let holds =
            |it: &usize| self.marks.is_leaving(&format!("engine-{it}"), 0, self.clock.now());
        (0..SERVERS).filter(holds).collect()
    }

    /// The reply to `message`, as it travels.
    async fn exchange(&self, message: Gossip) -> Vec<u8> {
        let message = unpack_gossip(&pack_gossip(&message).unwrap()).unwrap();
        let reply = self.publisher.send(IncomingExchange { message }).await.unwrap();
        pack_gossip(&reply).unwrap()
    }
}

/// A message of the router called `from` with nothing in it.
fn empty(from: &str) -> Gossip {
    empty_message(member(from))
}

#[tokio::test]
async fn domain_leaving_fits_one_message() {
    let nodes = [Node::new("a"), Node::new("b")];
    for it in &nodes {
        it.list(SERVERS).await;
    }
    let leaving: BTreeSet<usize> = (0..SERVERS).step_by(8).take(LEAVING).collect();
    nodes[0].mark(leaving.iter().copied(), 0);
    let told = nodes[0].exchange(empty("b")).await;
    assert!(told.len() <= RATE / MESSAGES, "{} bytes", told.len());
    nodes[1].exchange(unpack_gossip(&told).unwrap()).await;
    assert_eq!(nodes[1].held(), leaving);
}

#[tokio::test]
async fn set_of_marks_spares_restarted_server() {
    let nodes = [Node::new("a"), Node::new("b")];
    for it in &nodes {
        it.list(SERVERS).await;
    }
    nodes[1].report(3, 8).await;
    nodes[1].report(4, 6).await;
    nodes[0].mark(0..10, 7);
    let told = nodes[0].exchange(empty("b")).await;
    nodes[1].exchange(unpack_gossip(&told).unwrap()).await;
    assert_eq!(nodes[1].held(), (0..10).filter(|it| *it != 3).collect());
    assert!(!nodes[1].marks.is_leaving("engine-4", 7, nodes[1].clock.now()));
}

#[tokio::test]
async fn set_of_marks_about_other_list_is_left() {
    let nodes = [Node::new("a"), Node::new("b")];
    nodes[0].list(SERVERS).await;
    nodes[1].list(SERVERS - 1).await;
    nodes[0].mark(0..10, 0);
    let told = nodes[0].exchange(empty("b")).await;
    nodes[1].exchange(unpack_gossip(&told).unwrap()).await;
    assert!(nodes[1].held().is_empty());
}

#[tokio::test]
async fn marks_off_the_list_are_told_by_name() {
    let nodes = [Node::new("a"), Node::new("b")];
    nodes[0].mark(0..10, 0);
    let told = nodes[0].exchange(empty("b")).await;
    nodes[1].exchange(unpack_gossip(&told).unwrap()).await;
    assert_eq!(nodes[1].held(), (0..10).collect());
}

fn record(offset: u64) -> TicketRecord {
    let text = format!(
        "{{\"version\":1,\"number\":{},\"author\":\"spread\",\"objects\":[{{\"kind\":\"organisation\",\
         \"name\":\"org-{}\",\"spec\":{{\"weight\":1.0}}}}]}}",
        offset + 1,
        offset % 20
    );
    let ticket = filberttiller::wire::parse_ticket(&text).unwrap().1;
    TicketRecord { offset, text, ticket: Ok(ticket) }
}

#[tokio::test]
async fn storm_of_tickets_fits_one_message() {
    let nodes = [Node::new("a"), Node::new("b")];
    let records = (0..STORM).map(record).collect();
    nodes[0].publisher.send(RecordsRead { records }).await.unwrap();
    let told = nodes[0].exchange(empty("b")).await;
    assert!(told.len() <= RATE, "{} bytes", told.len());
    nodes[1].exchange(unpack_gossip(&told).unwrap()).await;
    assert_eq!(nodes[1].cell.peek().state.next, STORM);
    let again = Gossip { next: STORM, ..empty("b") };
    let reply = unpack_gossip(&nodes[0].exchange(again).await).unwrap();
    assert!(reply.records.is_empty());
}

#[test]
fn unpack_refuses_body_that_grows_without_end() {
    let mut message = empty("a");
    message.from.domain = "x".repeat(5 * 1024 * 1024);
    let body = pack_gossip(&message).unwrap();
    assert!(body.len() < 64 * 1024);
    assert!(unpack_gossip(&body).is_err());
}

proptest! {
    #![proptest_config(fixed())]

    /// Bytes of any kind are no message and do no harm, compressed form or not.
    #[test]
    fn unpack_survives_any_bytes(mut body in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(unpack_gossip(&body).is_err());
        body.insert(0, 0x78);
        prop_assert!(unpack_gossip(&body).is_err());
    }

    /// In each slot exactly one place has its turn, and each waits less than a round.
    #[test]
    fn turns_go_round(now in 0..1_000_000u64, every in 1..5_000u64, count in 1..50u64) {
        let (now, every) = (Duration::from_millis(now), Duration::from_millis(every));
        let delays: BTreeSet<Duration> =
            (0..count).map(|it| slot_delay(now, every, it, count)).collect();
        prop_assert_eq!(delays.len() as u64, count);
        let first = *delays.first().unwrap();
        prop_assert!(first > Duration::ZERO && first <= every);
        prop_assert_eq!(*delays.last().unwrap(), first + every * (count as u32 - 1));
    }
}

/// A page of the log that is larger than the budget is paid by what engines may spend too,
/// so that the bytes of any ten seconds stay near the rate.
#[test]
fn large_page_is_paid_by_what_can_wait() {
    const PAGE: usize = 14_000;
    let clock = Arc::new(ManualClock::new());
    let budget = Budget::new(RATE as u64, clock.clone());
    clock.advance(Duration::from_secs(10));
    budget.spend(Purpose::Log, PAGE);
    let mut spent = PAGE;
    for _ in 0..1_000 {
        clock.advance(Duration::from_millis(10));
        for it in [Purpose::Gossip, Purpose::List, Purpose::Load] {
            if budget.balance(it) >= 300.0 {
                budget.spend(it, 300);
                spent += 300;
            }
        }
    }
    assert!(spent <= 10 * RATE + RATE / 2, "{spent} bytes in ten seconds");
}

/// Whether all routers hold the engine `name` for leaving.
fn all_hold(fleet: &Fleet, name: &str) -> bool {
    let now = |it: &filberttiller::daemon::Daemon| it.shared().clock.now();
    fleet.routers.iter().all(|it| it.shared().marks.is_leaving(name, 0, now(it)))
}

#[rstest]
#[case::first(0)]
#[case::second(1)]
#[tokio::test]
async fn refusal_of_leaving_engine_marks_it_everywhere(#[case] index: usize) {
    let options = FleetOptions { routers: 3, engines: 2, canaries: 0, ..FleetOptions::default() };
    let fleet = start(options).await;
    fleet.list.set_faults(Faults { out: true, ..Faults::default() });
    fleet.engines[index].set_faults(EngineFaults { leaving: true, ..EngineFaults::default() });
    let name = format!("assistant-llm-{index}");
    let messages = question("reeds");
    let turn = ChatTurn { messages: &messages, tokens: 2, stream: false };
    let mut chat = 0;
    while !fleet
        .routers
        .iter()
        .any(|it| it.shared().marks.is_leaving(&name, 0, it.shared().clock.now()))
    {
        chat += 1;
        let mut caller = Caller::new(&fleet.http, "dalisay", &format!("chat-{chat}"));
        caller.send(fleet.routers[0].address(), &turn).await.unwrap();
    }
    fleet.wait_until(|it| all_hold(it, &name)).await;
    let other = format!("assistant-llm-{}", 1 - index);
    assert!(
        !fleet
            .routers
            .iter()
            .any(|it| { it.shared().marks.is_leaving(&other, 0, it.shared().clock.now()) })
    );
    assert_eq!(fleet.engines[index].total_runs(), 0);
    let id = hash_bytes(name.as_bytes());
    let leaves = |it: &Fleet| {
        it.routers.iter().all(|r| {
            let view = r.shared().view.peek();
            view.pools["assistant-llm"].engines.iter().any(|e| e.id == id && e.leaving)
        })
    };
    fleet.wait_until(leaves).await;
}
