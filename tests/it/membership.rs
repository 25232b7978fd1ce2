//! Membership of routers, and the leaving marks, loads and instance list that
//! routers exchange by gossip.

use std::time::{Duration, Instant};

use filberttiller::demo::{Fleet, FleetOptions};
use filberttiller::fleet::{InstanceTable, LeavingMark, LeavingMarks, LoadTable, Members};
use filberttiller::wire::{
    Instance, InstanceState, LoadReport, MemberStatus, Role, WireInstanceEntry, WireLoad,
    WireMember,
};
use rstest::rstest;
use standins::list::Faults;

fn member(name: &str, incarnation: u64, status: MemberStatus) -> WireMember {
    let address = "127.0.0.1:1".parse().unwrap();
    WireMember {
        name: name.to_owned(),
        incarnation,
        status,
        address,
        control: address,
        domain: "luzon-a".to_owned(),
    }
}

fn members() -> Members {
    Members::new(member("own", 10, MemberStatus::Alive))
}

#[rstest]
#[case::higher_incarnation(6, MemberStatus::Alive, true)]
#[case::same_again(5, MemberStatus::Suspect, false)]
#[case::later_status(5, MemberStatus::Dead, true)]
#[case::earlier_status(5, MemberStatus::Alive, false)]
#[case::older_incarnation(4, MemberStatus::Dead, false)]
fn merge_prefers_newer_entry(
    #[case] incarnation: u64,
    #[case] status: MemberStatus,
    #[case] changes: bool,
) {
    let mut it = members();
    let now = Instant::now();
    assert!(it.merge(member("a", 5, MemberStatus::Suspect), now));
    assert_eq!(it.merge(member("a", incarnation, status), now), changes);
}

#[test]
fn expire_declares_unrefuted_suspect_dead() {
    let mut it = members();
    let now = Instant::now();
    it.merge(member("a", 1, MemberStatus::Alive), now);
    it.merge(member("b", 1, MemberStatus::Alive), now);
    for name in ["a", "b"] {
        assert!(!it.record_failure(name, now));
        assert!(it.record_failure(name, now));
    }
    it.merge(member("a", 2, MemberStatus::Alive), now);
    assert_eq!(it.expire(now + Duration::from_secs(6)), ["b"]);
    assert_eq!(it.others().map(|it| it.name.as_str()).collect::<Vec<_>>(), ["a"]);
    assert!(!it.merge(member("b", 1, MemberStatus::Alive), now));
    assert_eq!(it.entries_for("b", 1)[0].status, MemberStatus::Dead);
}

#[test]
fn record_failure_single_raises_no_suspicion() {
    let mut it = members();
    let now = Instant::now();
    it.merge(member("a", 1, MemberStatus::Alive), now);
    for _ in 0..5 {
        assert!(!it.record_failure("a", now));
        it.record_success("a");
    }
}

#[rstest]
#[case::suspected(member("own", 10, MemberStatus::Suspect), 11)]
#[case::dead_after_clock_went_back(member("own", 40, MemberStatus::Dead), 41)]
#[case::earlier_incarnation(member("own", 9, MemberStatus::Dead), 10)]
fn merge_refutes_accusation(#[case] entry: WireMember, #[case] incarnation: u64) {
    let mut it = members();
    it.merge(entry, Instant::now());
    assert_eq!(it.own().incarnation, incarnation);
    assert_eq!(it.own().status, MemberStatus::Alive);
}

/// Sends what `from` knows to `to`, as an exchange does.
fn send(from: &mut Members, to: &mut Members, now: Instant) {
    let own = from.own().clone();
    let entries = from.entries_for(&to.own().name.clone(), 8);
    for entry in entries.into_iter().chain([own]) {
        to.merge(entry, now);
    }
}

/// `a` cannot reach `b`, but both reach `c`: the refutation arrives by way of `c`.
#[test]
fn suspicion_refuted_through_third_router() {
    let now = Instant::now();
    let mut all = ["a", "b", "c"].map(|it| Members::new(member(it, 1, MemberStatus::Alive)));
    let [a, b, c] = &mut all;
    send(b, a, now);
    send(a, c, now);
    send(c, b, now);
    a.record_failure("b", now);
    assert!(a.record_failure("b", now));
    send(a, c, now);
    assert_eq!(c.get("b").unwrap().status, MemberStatus::Suspect);
    send(c, b, now);
    send(b, c, now);
    send(c, a, now);
    assert!(a.expire(now + Duration::from_secs(60)).is_empty());
    assert_eq!(a.get("b").unwrap().status, MemberStatus::Alive);
}

#[test]
fn dead_router_alive_again_after_pause() {
    let now = Instant::now();
    let mut a = Members::new(member("a", 1, MemberStatus::Alive));
    let mut paused = Members::new(member("p", 1, MemberStatus::Alive));
    send(&mut paused, &mut a, now);
    a.record_failure("p", now);
    a.record_failure("p", now);
    assert_eq!(a.expire(now + Duration::from_secs(60)), ["p"]);
    send(&mut a, &mut paused, now);
    send(&mut paused, &mut a, now);
    assert_eq!(a.get("p").unwrap().status, MemberStatus::Alive);
}

#[test]
fn mark_valid_until_expiry_or_new_incarnation() {
    let marks = LeavingMarks::default();
    let now = Instant::now();
    let remaining = Duration::from_secs(30);
    let mark = LeavingMark { name: "e".to_owned(), incarnation: 7, remaining };
    assert!(marks.insert(&mark, now));
    assert!(!marks.insert(&mark, now));
    assert!(
        marks.is_leaving("e", 7, now)
            && marks.is_leaving("e", 0, now)
            && marks.is_leaving("e", 6, now)
    );
    assert!(!marks.is_leaving("e", 8, now));
    assert!(!marks.is_leaving("e", 7, now + remaining));
    assert!(marks.expire(now + remaining));
}

#[test]
fn marks_resent_in_rotation_until_digests_agree() {
    let (from, to) = (LeavingMarks::default(), LeavingMarks::default());
    let now = Instant::now();
    let remaining = Duration::from_secs(30);
    for i in 0..5 {
        from.insert(&LeavingMark { name: format!("e-{i}"), incarnation: i, remaining }, now);
    }
    while !from.pending(5, now, |_| true).is_empty() {}
    let mut last = String::new();
    let mut sent = 0;
    while from.digest(now) != to.digest(now) {
        let marks = from.resend(&last, 2, now);
        last = marks.last().unwrap().name.clone();
        sent += marks.len();
        assert!(sent <= 6, "marks resent out of rotation");
        marks.iter().for_each(|it| assert!(to.insert(it, now) || last == "e-0"));
    }
    assert!((0..5).all(|i| to.is_leaving(&format!("e-{i}"), i, now)));
    assert_eq!((from.digest(now + remaining), from.resend("", 5, now + remaining).len()), (0, 0));
}

fn instance(name: &str, standing: InstanceState) -> Instance {
    Instance {
        name: name.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        control: None,
        domain: "luzon-a".to_owned(),
        role: Role::Engine,
        pool: "p".to_owned(),
        standing,
    }
}

#[test]
fn instance_table_prefers_newer_then_closer_to_removal() {
    let mut it = InstanceTable::default();
    it.update(vec![instance("e", InstanceState::Live)]);
    let entry = |version, standing| WireInstanceEntry {
        version,
        name: "e".to_owned(),
        instance: Some(instance("e", standing)),
    };
    assert!(it.merge(entry(1, InstanceState::Leaving)));
    assert!(!it.merge(entry(1, InstanceState::Live)));
    assert!(it.merge(entry(2, InstanceState::Live)));
    assert!(it.merge(WireInstanceEntry { version: 2, name: "e".to_owned(), instance: None }));
    assert_eq!(it.instances().count(), 0);
}

#[test]
fn pending_loads_largest_change_first() {
    let mut it = LoadTable::default();
    let report = |tokens| LoadReport { incarnation: 1, tokens, ..LoadReport::default() };
    for id in 0..3 {
        it.record_report(id, report(100), 1);
    }
    while !it.pending(3).is_empty() {}
    it.record_report(0, report(101), 2);
    it.record_report(1, report(900), 2);
    it.record_report(2, report(100), 2);
    let entries = it.pending(8);
    assert_eq!(entries.iter().map(|it| it.0).collect::<Vec<_>>(), [1, 0]);
    assert!(!it.merge(&WireLoad(1, 1, 1, [5, 0, 0, 0])));
    assert_eq!(it.get(1).unwrap().tokens, 900);
}

#[test]
fn unchanged_loads_resent_in_rotation() {
    let mut it = LoadTable::default();
    for id in [7, 900, 40] {
        it.record_report(id, LoadReport { tokens: id, ..LoadReport::default() }, 1);
    }
    while !it.pending(3).is_empty() {}
    let ids: Vec<u64> = (0..4).filter_map(|_| it.next_resend()).map(|it| it.0).collect();
    assert_eq!(ids, [7, 40, 900, 7]);
}

pub(crate) fn options(routers: usize) -> FleetOptions {
    let mut options = FleetOptions { routers, engines: 2, canaries: 0, ..FleetOptions::default() };
    options.settings.traffic.threads = 1;
    options.settings.state_sync.gossip_every = Duration::from_millis(100);
    options.settings.state_sync.budget = bytesize::ByteSize::kib(64);
    options
}

/// Whether all routers have the engine `name` as leaving.
fn is_leaving_everywhere(fleet: &Fleet, name: &str) -> bool {
    fleet.routers.iter().all(|it| {
        let view = it.shared().view.peek();
        let pool = &view.pools["assistant-llm"];
        let index = pool.servers.iter().position(|it| it.name == name);
        index.is_some_and(|i| pool.engines[i].leaving)
    })
}

#[tokio::test]
async fn leaving_mark_outlives_stale_list() {
    let fleet = Fleet::start(options(3)).await.unwrap();
    let known = |it: &Fleet| {
        it.routers.iter().all(|r| {
            r.shared().view.peek().pools["assistant-llm"].engines.iter().all(|e| e.incarnation > 0)
        })
    };
    fleet.wait_until(known).await;
    fleet.list.leave("assistant-llm-0");
    fleet.wait_until(|it| is_leaving_everywhere(it, "assistant-llm-0")).await;
    let entry = standins::list::Entry {
        name: "assistant-llm-0".to_owned(),
        address: fleet.engines[0].addr(),
        control: None,
        domain: "luzon-a".to_owned(),
        role: standins::list::Role::Engine,
        pool: "assistant-llm".to_owned(),
        standing: standins::list::InstanceState::Live,
    };
    fleet.list.put(entry);
    fleet.list.put(standins::list::Entry {
        name: "assistant-llm-9".to_owned(),
        address: fleet.engines[0].addr(),
        control: None,
        domain: "luzon-a".to_owned(),
        role: standins::list::Role::Engine,
        pool: "assistant-llm".to_owned(),
        standing: standins::list::InstanceState::Live,
    });
    let newer = |it: &Fleet| {
        it.routers.iter().all(|r| r.shared().view.peek().pools["assistant-llm"].servers.len() == 3)
    };
    fleet.wait_until(newer).await;
    assert!(is_leaving_everywhere(&fleet, "assistant-llm-0"));
    fleet.engines[0].crash(Duration::from_millis(10));
    fleet.wait_until(|it| !is_leaving_everywhere(it, "assistant-llm-0")).await;
}

/// A fleet whose instance list is out and whose third router has marked an engine as
/// leaving.
async fn fleet_with_mark(routers: usize) -> Fleet {
    let fleet = Fleet::start(options(routers)).await.unwrap();
    fleet.list.set_faults(Faults { out: true, ..Faults::default() });
    let shared = fleet.routers[2].shared();
    let remaining = Duration::from_secs(600);
    let mark = LeavingMark { name: "assistant-llm-1".to_owned(), incarnation: 0, remaining };
    shared.marks.insert(&mark, shared.clock.now());
    fleet
}

#[tokio::test]
async fn mark_from_traffic_spreads_without_list() {
    let fleet = fleet_with_mark(4).await;
    fleet.wait_until(|it| is_leaving_everywhere(it, "assistant-llm-1")).await;
}

/// All messages that carry the mark are lost; the digests differ, so it is resent.
#[tokio::test]
async fn mark_resent_after_lost_messages() {
    let fleet = fleet_with_mark(3).await;
    let shared = fleet.routers[2].shared();
    while !shared.marks.pending(1, shared.clock.now(), |_| true).is_empty() {}
    fleet.wait_until(|it| is_leaving_everywhere(it, "assistant-llm-1")).await;
}

/// For each router, whether it offers the router `name` to callers.
fn offered(fleet: &Fleet, name: &str) -> Vec<bool> {
    fleet
        .routers
        .iter()
        .map(|it| {
            let view = it.shared().view.peek();
            view.routers.iter().any(|r| r.name == name && !r.leaving)
        })
        .collect()
}

#[tokio::test]
async fn draining_router_not_offered() {
    let mut options = options(4);
    options.settings.traffic.entry_ttl = Duration::from_secs(3_600);
    let fleet = Fleet::start(options).await.unwrap();
    fleet.list.set_faults(Faults { out: true, ..Faults::default() });
    assert_eq!(offered(&fleet, "entry-1"), [true; 4]);
    fleet.routers[1].stop(filberttiller::daemon::Stop::Drain);
    fleet.wait_until(|it| offered(it, "entry-1") == [false; 4]).await;
}

#[tokio::test]
async fn dead_router_not_offered_until_it_rejoins() {
    let mut fleet = Fleet::start(options(4)).await.unwrap();
    fleet.list.set_faults(Faults { out: true, ..Faults::default() });
    drop(fleet.routers.pop());
    fleet.wait_until(|it| offered(it, "entry-3") == [false; 3]).await;
    fleet.list.set_faults(Faults::default());
    fleet.add_router().unwrap();
    fleet.wait_until(|it| offered(it, "entry-3") == [true; 4]).await;
}
