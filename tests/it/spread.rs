//! Gossip between routers: size and content of the messages, leaving marks of many
//! backend servers, and the slots in which routers read the instance list.

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

use crate::decoders::fixed_seed;
use crate::support::{empty_message, question, start};

/// Control bytes of a router per second.
const BYTE_RATE: usize = 4_096;
/// Messages of one router in a tree with a fan-out of three: one in, three out.
const MESSAGES_PER_MARK: usize = 4;
/// Backend servers of the fleet, and of the failure domain that leaves.
const SERVERS: usize = 790;
const LEAVING: usize = 100;
/// How long a crash report is retained.
const CRASH_RELEASE: Duration = Duration::from_secs(600);
/// Tickets that arrive at once.
const BURST: u64 = 100;

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

/// The control state of a router without a network.
struct TestRouter {
    publisher: Address<Publisher>,
    marks: Arc<LeavingMarks>,
    clock: Arc<ManualClock>,
    cell: Arc<ViewCell>,
}

impl TestRouter {
    fn new(name: &str) -> TestRouter {
        let clock = Arc::new(ManualClock::new());
        let marks: Arc<LeavingMarks> = Arc::default();
        let cell: Arc<ViewCell> = Arc::default();
        let parts = PublisherParts {
            own: member(name),
            cell: Arc::clone(&cell),
            events: Arc::new(EventLog::new(name, clock.clone(), discard_logger())),
            clock: clock.clone(),
            marks: Arc::clone(&marks),
            crashes: Arc::new(CrashTable::new(CRASH_RELEASE)),
            budget: Arc::new(Budget::new(BYTE_RATE as u64, clock.clone())),
            settings: StateSync::default(),
            seeds: Vec::new(),
        };
        let publisher =
            xtra::spawn_tokio(Publisher::new(parts, Arc::default()), Mailbox::unbounded());
        TestRouter { publisher, marks, clock, cell }
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

    fn marked(&self) -> BTreeSet<usize> {
        let holds =
            |it: &usize| self.marks.is_leaving(&format!("engine-{it}"), 0, self.clock.now());
        (0..SERVERS).filter(holds).collect()
    }

    /// The packed reply to `message`.
    async fn exchange(&self, message: Gossip) -> Vec<u8> {
        let message = unpack_gossip(&pack_gossip(&message).unwrap()).unwrap();
        let reply = self.publisher.send(IncomingExchange { message }).await.unwrap();
        pack_gossip(&reply).unwrap()
    }
}

/// An empty message of the router `from`.
fn empty(from: &str) -> Gossip {
    empty_message(member(from))
}

#[tokio::test]
async fn domain_leaving_fits_one_message() {
    let routers = [TestRouter::new("a"), TestRouter::new("b")];
    for it in &routers {
        it.list(SERVERS).await;
    }
    let leaving: BTreeSet<usize> = (0..SERVERS).step_by(8).take(LEAVING).collect();
    routers[0].mark(leaving.iter().copied(), 0);
    let reply = routers[0].exchange(empty("b")).await;
    assert!(reply.len() <= BYTE_RATE / MESSAGES_PER_MARK, "{} bytes", reply.len());
    routers[1].exchange(unpack_gossip(&reply).unwrap()).await;
    assert_eq!(routers[1].marked(), leaving);
}

#[tokio::test]
async fn mark_set_skips_restarted_server() {
    let routers = [TestRouter::new("a"), TestRouter::new("b")];
    for it in &routers {
        it.list(SERVERS).await;
    }
    routers[1].report(3, 8).await;
    routers[1].report(4, 6).await;
    routers[0].mark(0..10, 7);
    let reply = routers[0].exchange(empty("b")).await;
    routers[1].exchange(unpack_gossip(&reply).unwrap()).await;
    assert_eq!(routers[1].marked(), (0..10).filter(|it| *it != 3).collect());
    assert!(!routers[1].marks.is_leaving("engine-4", 7, routers[1].clock.now()));
}

#[tokio::test]
async fn mark_set_for_other_list_is_ignored() {
    let routers = [TestRouter::new("a"), TestRouter::new("b")];
    routers[0].list(SERVERS).await;
    routers[1].list(SERVERS - 1).await;
    routers[0].mark(0..10, 0);
    let reply = routers[0].exchange(empty("b")).await;
    routers[1].exchange(unpack_gossip(&reply).unwrap()).await;
    assert!(routers[1].marked().is_empty());
}

#[tokio::test]
async fn unlisted_marks_are_sent_by_name() {
    let routers = [TestRouter::new("a"), TestRouter::new("b")];
    routers[0].mark(0..10, 0);
    let reply = routers[0].exchange(empty("b")).await;
    routers[1].exchange(unpack_gossip(&reply).unwrap()).await;
    assert_eq!(routers[1].marked(), (0..10).collect());
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
async fn burst_of_tickets_fits_one_message() {
    let routers = [TestRouter::new("a"), TestRouter::new("b")];
    let records = (0..BURST).map(record).collect();
    routers[0].publisher.send(RecordsRead { records }).await.unwrap();
    let reply = routers[0].exchange(empty("b")).await;
    assert!(reply.len() <= BYTE_RATE, "{} bytes", reply.len());
    routers[1].exchange(unpack_gossip(&reply).unwrap()).await;
    assert_eq!(routers[1].cell.peek().state.next, BURST);
    let again = Gossip { next: BURST, ..empty("b") };
    let reply = unpack_gossip(&routers[0].exchange(again).await).unwrap();
    assert!(reply.records.is_empty());
}

#[test]
fn unpack_refuses_oversized_body() {
    let mut message = empty("a");
    message.from.domain = "x".repeat(5 * 1024 * 1024);
    let body = pack_gossip(&message).unwrap();
    assert!(body.len() < 64 * 1024);
    assert!(unpack_gossip(&body).is_err());
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// Random bytes are refused, with and without the first byte of a compressed body.
    #[test]
    fn unpack_refuses_random_bytes(mut body in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(unpack_gossip(&body).is_err());
        body.insert(0, 0x78);
        prop_assert!(unpack_gossip(&body).is_err());
    }

    /// Each slot belongs to exactly one router, and each router gets one slot in a round.
    #[test]
    fn slots_rotate_over_routers(now in 0..1_000_000u64, every in 1..5_000u64, count in 1..50u64) {
        let (now, every) = (Duration::from_millis(now), Duration::from_millis(every));
        let delays: BTreeSet<Duration> =
            (0..count).map(|it| slot_delay(now, every, it, count)).collect();
        prop_assert_eq!(delays.len() as u64, count);
        let first = *delays.first().unwrap();
        prop_assert!(first > Duration::ZERO && first <= every);
        prop_assert_eq!(*delays.last().unwrap(), first + every * (count as u32 - 1));
    }
}

/// A page of the log that is larger than the budget is paid from the share of engine
/// polls too, so that the bytes of any ten seconds stay near the rate.
#[test]
fn large_page_is_paid_from_deferrable_budgets() {
    const PAGE_BYTES: usize = 14_000;
    let clock = Arc::new(ManualClock::new());
    let budget = Budget::new(BYTE_RATE as u64, clock.clone());
    clock.advance(Duration::from_secs(10));
    budget.spend(Purpose::Log, PAGE_BYTES);
    let mut spent = PAGE_BYTES;
    for _ in 0..1_000 {
        clock.advance(Duration::from_millis(10));
        for it in [Purpose::Gossip, Purpose::List, Purpose::Load] {
            if budget.balance(it) >= 300.0 {
                budget.spend(it, 300);
                spent += 300;
            }
        }
    }
    assert!(spent <= 10 * BYTE_RATE + BYTE_RATE / 2, "{spent} bytes in ten seconds");
}

/// Whether the engine `name` is marked as leaving on all routers.
fn is_marked_everywhere(fleet: &Fleet, name: &str) -> bool {
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
    fleet.wait_until(|it| is_marked_everywhere(it, &name)).await;
    let other = format!("assistant-llm-{}", 1 - index);
    assert!(
        !fleet
            .routers
            .iter()
            .any(|it| { it.shared().marks.is_leaving(&other, 0, it.shared().clock.now()) })
    );
    assert_eq!(fleet.engines[index].total_runs(), 0);
    let id = hash_bytes(name.as_bytes());
    let is_leaving = |it: &Fleet| {
        it.routers.iter().all(|r| {
            let view = r.shared().view.peek();
            view.pools["assistant-llm"].engines.iter().any(|e| e.id == id && e.leaving)
        })
    };
    fleet.wait_until(is_leaving).await;
}
