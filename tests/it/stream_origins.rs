//! Which software version began a stream, and which versions serve.

use std::time::{Duration, Instant};

use filberttiller::decide::hash_bytes;
use filberttiller::peers::{decode, encode};
use filberttiller::relay::{OriginReply, StreamOrigin, StreamOrigins};
use filberttiller::servers::{
    Change, DueRegistration, Page, Position, Registration, RouterProcess, SeenSoftware,
    ServerRecord, ServerTable, ServiceSoftware,
};
use filberttiller::wire::{WireOriginQuery, WireOriginReply, WireStreamOrigin, WireStreamOrigins};
use proptest::collection::vec;
use proptest::prelude::{any, proptest};
use rstest::rstest;

use crate::support::server_record;

pub const SERVICE: &str = "s";
pub const SECOND: Duration = Duration::from_secs(1);

fn origin(stream: u64, deadline: Instant) -> StreamOrigin {
    StreamOrigin { stream, software: 7, deadline }
}

/// Streams that other routers are to be told of, sorted.
fn untold(origins: &mut StreamOrigins) -> Vec<u64> {
    let taken = origins.take_untold(&[hash_bytes(SERVICE.as_bytes())]);
    let mut taken: Vec<u64> = taken.iter().map(|it| it.stream).collect();
    taken.sort_unstable();
    taken
}

/// Streams that are to be written to the store, sorted.
fn unwritten(origins: &mut StreamOrigins, now: Instant) -> Vec<u64> {
    let taken = origins.take_unwritten(&[hash_bytes(SERVICE.as_bytes())], 1_000, now);
    let mut taken: Vec<u64> = taken.iter().map(|it| it.stream).collect();
    taken.sort_unstable();
    taken
}

#[test]
fn software_known_until_stream_is_over() {
    let (mut origins, now) = (StreamOrigins::default(), Instant::now());
    origins.record(origin(1, now + SECOND), SERVICE);
    assert!(origins.merge(origin(2, now + SECOND), now));
    for stream in [1, 2] {
        assert_eq!(origins.software(stream, now + 5 * SECOND), Some(7));
        assert_eq!(origins.software(stream, now + 7 * SECOND), None);
    }
    assert_eq!(origins.software(3, now), None);
    origins.remove_expired(now + 7 * SECOND);
    assert!(origins.is_empty());
}

/// The first record of a stream counts: what another router tells later does not change it.
#[test]
fn software_of_first_record() {
    let (mut origins, now) = (StreamOrigins::default(), Instant::now());
    origins.record(origin(1, now + SECOND), SERVICE);
    let other = StreamOrigin { software: 8, ..origin(1, now + SECOND) };
    origins.merge(other, now);
    origins.record(other, SERVICE);
    assert_eq!(origins.software(1, now), Some(7));
}

#[test]
fn take_untold_open_streams_once() {
    let (mut origins, now) = (StreamOrigins::default(), Instant::now());
    for stream in 1..=3 {
        origins.record(origin(stream, now + SECOND), SERVICE);
    }
    origins.record(origin(4, now + SECOND), "other");
    origins.merge(origin(5, now + SECOND), now);
    origins.end(2);
    assert_eq!(untold(&mut origins), [1, 3], "not those that ended, of other services or told");
    assert!(untold(&mut origins).is_empty());
    assert_eq!(origins.software(2, now), Some(7), "it is still known here");
}

/// Guards against streams that are told for ever to a router that does not take them.
#[test]
fn record_untold_few_times() {
    let (mut origins, now) = (StreamOrigins::default(), Instant::now());
    origins.record(origin(1, now + SECOND), SERVICE);
    for _ in 0..3 {
        assert_eq!(untold(&mut origins), [1]);
        origins.record_untold(&[origin(1, now + SECOND), origin(9, now)]);
    }
    assert!(untold(&mut origins).is_empty());
}

#[test]
fn merge_bounded() {
    let (mut origins, now) = (StreamOrigins::default(), Instant::now());
    for stream in 0..65_536 {
        assert!(origins.merge(origin(stream, now + SECOND), now));
    }
    assert!(!origins.merge(origin(70_000, now + SECOND), now));
    let later = now + 10 * SECOND;
    assert!(origins.merge(origin(70_000, later), later), "the others are over");
    assert_eq!(origins.len(), 1);
}

fn put(key: &str, software: &str, born: u64) -> Change<ServerRecord> {
    let record = ServerRecord {
        service: SERVICE.to_owned(),
        software: software.into(),
        born,
        ..server_record()
    };
    Change { key: key.to_owned(), value: Some(Ok(record)) }
}

/// Applies changes; true if a service has several versions now and had one before.
fn apply(table: &mut ServerTable, changes: Vec<Change<ServerRecord>>, now: Instant) -> bool {
    table.apply(
        Page { changes, next: Position::default(), is_complete: false, is_last: true },
        now,
        |_, _| {},
    );
    table.record_software(now)
}

pub fn key(software: &str) -> u64 {
    hash_bytes(software.as_bytes())
}

/// Guards against a version that is forgotten with its last server, by removal or as the server
/// starts again with another one.
#[rstest]
#[case::removed(Change { key: "a".to_owned(), value: None })]
#[case::restarted(put("a", "v2", 2))]
#[case::unreadable(Change { key: "a".to_owned(), value: Some(Err("malformed".to_owned())) })]
fn software_remembered_for_a_while(#[case] change: Change<ServerRecord>) {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    assert_eq!(table.software(SERVICE), ServiceSoftware::None);
    assert!(!apply(&mut table, vec![put("a", "v1", 1)], now));
    assert_eq!(table.software(SERVICE), ServiceSoftware::One(key("v1")));
    assert!(apply(&mut table, vec![put("b", "v2", 1)], now));
    assert_eq!(table.software(SERVICE), ServiceSoftware::Several);
    assert!(!apply(&mut table, vec![change], now), "it has several already");
    table.record_software(now + 60 * SECOND);
    assert_eq!(table.software(SERVICE), ServiceSoftware::Several);
    let is_gone = table.all().all(|it| it.software.as_str() == "v2");
    assert!(is_gone);
}

#[test]
fn software_forgotten_later() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", "v1", 1), put("b", "v2", 1)], now);
    apply(&mut table, vec![Change { key: "a".to_owned(), value: None }], now);
    table.record_software(now + 121 * SECOND);
    assert_eq!(table.software(SERVICE), ServiceSoftware::One(key("v2")));
    assert_eq!(table.mixed_services().count(), 0);
}

/// Guards against a version that is forgotten while the store is away and nothing is applied.
#[test]
fn software_of_present_servers_kept() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", "v1", 1), put("b", "v2", 1)], now);
    for minute in 1..10 {
        table.expire(now + 60 * SECOND * minute, |_, _| {});
        table.record_software(now + 60 * SECOND * minute);
    }
    assert_eq!(table.software(SERVICE), ServiceSoftware::Several);
}

#[test]
fn merge_software_of_other_router() {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    apply(&mut table, vec![put("a", "v2", 1)], now);
    let seen = |age: u32| SeenSoftware {
        service: SERVICE.to_owned(),
        software: key("v1"),
        at: now.checked_sub(SECOND * age).unwrap_or(now),
    };
    table.merge_software(&seen(10), now);
    assert_eq!(table.software(SERVICE), ServiceSoftware::Several);
    let told: Vec<SeenSoftware> = table.seen_software().collect();
    assert_eq!(told.len(), 2);
    assert!(told.contains(&seen(10)), "the age is not renewed by telling");
}

/// A version that the store has a record of counts like one that was seen, for as long: servers
/// with it may have gone before this router started.
#[rstest]
#[case::one(&["v1"], &["v1"], ServiceSoftware::One(key("v1")))]
#[case::another_registered(&["v2"], &["v1"], ServiceSoftware::Several)]
#[case::another_seen(&["v1", "v2"], &["v1"], ServiceSoftware::Several)]
#[case::none_seen(&[], &["v2"], ServiceSoftware::One(key("v2")))]
fn registered_software_counts(
    #[case] seen: &[&str],
    #[case] registered: &[&str],
    #[case] expected: ServiceSoftware,
) {
    let (mut table, now) = (ServerTable::default(), Instant::now());
    for it in registered {
        table.register_software(SERVICE, key(it), Registration::Shared, now);
    }
    apply(&mut table, seen.iter().map(|it| put(it, it, 1)).collect(), now);
    assert_eq!(table.software(SERVICE), expected);
    table.record_software(now + 119 * SECOND);
    assert_eq!(table.software(SERVICE), expected);
}

pub fn process(router: u64) -> RouterProcess {
    RouterProcess { router, born: 1 }
}

/// The table of a process, with servers of the versions `seen`.
pub fn table(own: RouterProcess, seen: &[&str], now: Instant) -> ServerTable {
    let mut table = ServerTable::default();
    table.set_process(own);
    apply(&mut table, seen.iter().map(|it| put(it, it, 1)).collect(), now);
    table
}

pub fn due(software: &str, registration: Registration) -> Vec<DueRegistration> {
    vec![DueRegistration { service: SERVICE.to_owned(), software: key(software), registration }]
}

/// The only version is registered for all routers; a second one by each process for itself.
#[test]
fn unregistered_until_known() {
    let now = Instant::now();
    let mut table = table(process(1), &["v1"], now);
    assert_eq!(table.unregistered(), due("v1", Registration::Shared));
    table.register_software(SERVICE, key("v1"), Registration::Shared, now);
    assert!(table.unregistered().is_empty());
    apply(&mut table, vec![put("v2", "v2", 1), put("b", "v2", 1)], now);
    let own = Registration::Process(process(1));
    assert_eq!(table.unregistered(), due("v2", own));
    let registered = |it: &ServerTable| it.all().filter(|it| it.is_registered()).count();
    table.register_software(SERVICE, key("v2"), Registration::Process(process(2)), now);
    assert_eq!(registered(&table), 1, "another process did so for itself");
    table.register_software(SERVICE, key("v2"), own, now);
    assert_eq!(registered(&table), 3);
    table.note_restoration(2, now, false);
    assert_eq!((table.unregistered().len(), registered(&table)), (2, 0), "lost by the store");
}

#[test]
fn merge_registered_of_reader() {
    let now = Instant::now();
    let mut reader = table(process(1), &["v1", "v2"], now);
    reader.register_software(SERVICE, key("v1"), Registration::Shared, now);
    reader.register_software(SERVICE, key("v2"), Registration::Process(process(1)), now);
    let mut follower = table(process(2), &["v1", "v2"], now);
    follower.merge_registered(&reader.registered());
    assert_eq!(follower.unregistered(), due("v2", Registration::Process(process(2))));
}

/// A stream that none of the asked processes knows was begun by a version that is registered for
/// all, or by a process that was not asked.
#[rstest]
#[case::nobody_registered(&[], &[], &["v1"])]
#[case::registered_by_this_one(&[1], &[], &["v1"])]
#[case::all_asked(&[1, 2, 3], &[2, 3], &["v1"])]
#[case::one_silent(&[1, 2, 3], &[2], &["v1", "v2"])]
fn possible_software(#[case] registered: &[u64], #[case] asked: &[u64], #[case] expected: &[&str]) {
    let now = Instant::now();
    let mut table = table(process(1), &["v1", "v2"], now);
    table.register_software(SERVICE, key("v1"), Registration::Shared, now);
    for it in registered {
        table.register_software(SERVICE, key("v2"), Registration::Process(process(*it)), now);
    }
    let asked: Vec<RouterProcess> = asked.iter().map(|it| process(*it)).collect();
    let mut possible = table.possible_software(SERVICE, &asked).to_vec();
    let mut expected: Vec<u64> = expected.iter().map(|it| key(it)).collect();
    possible.sort_unstable();
    expected.sort_unstable();
    assert_eq!(possible, expected);
    let others: Vec<u64> = table.registered_processes(SERVICE).iter().map(|it| it.router).collect();
    let expected: Vec<u64> = registered.iter().copied().filter(|it| *it != 1).collect();
    assert_eq!(others, expected);
}

/// Guards against a process that started again under the name of one that registered a version.
#[test]
fn possible_software_of_replaced_process() {
    let now = Instant::now();
    let mut table = table(process(1), &["v1", "v2"], now);
    table.register_software(SERVICE, key("v1"), Registration::Shared, now);
    table.register_software(SERVICE, key("v2"), Registration::Process(process(2)), now);
    let replaced = RouterProcess { born: 2, ..process(2) };
    assert_eq!(table.possible_software(SERVICE, &[replaced]).len(), 2);
}

/// Guards against a version that is back just as other routers remove its record.
#[test]
fn unregistered_after_long_absence() {
    let now = Instant::now();
    let mut table = table(process(1), &["v1"], now);
    table.register_software(SERVICE, key("v1"), Registration::Shared, now);
    apply(&mut table, vec![Change { key: "v1".to_owned(), value: None }], now);
    apply(&mut table, vec![put("b", "v1", 1)], now + 59 * SECOND);
    assert!(table.unregistered().is_empty());
    apply(&mut table, vec![Change { key: "b".to_owned(), value: None }], now + 59 * SECOND);
    apply(&mut table, vec![put("c", "v1", 1)], now + 120 * SECOND);
    assert_eq!(table.unregistered(), due("v1", Registration::Shared));
}

/// Guards against a router that stood still, or whose store was away, while a version served on at
/// the others: it has to register anew before it begins streams there, but another process that
/// registered the version may have begun the stream in question.
#[rstest]
#[case::for_all(Registration::Shared)]
#[case::for_another_process(Registration::Process(process(2)))]
fn possible_software_after_long_absence(#[case] registration: Registration) {
    let now = Instant::now();
    let mut table = table(process(1), &["v1", "v2"], now);
    let own = Registration::Process(process(1));
    for (software, registration) in [("v1", own), ("v2", own), ("v2", registration)] {
        table.register_software(SERVICE, key(software), registration, now);
    }
    table.record_software(now + 61 * SECOND);
    assert_eq!(table.possible_software(SERVICE, &[]).to_vec(), [key("v2")]);
    assert_eq!(table.unregistered().len(), 2, "this process begins no streams");
    table.register_software(SERVICE, key("v2"), own, now + 62 * SECOND);
    assert_eq!(table.unregistered(), due("v1", own));
    assert_eq!(table.possible_software(SERVICE, &[]).to_vec(), [key("v2")]);
}

/// Once a version is the only one left, it is to be registered for all, and what is registered of
/// the others is to be removed.
#[test]
fn outdated_registrations_after_streams_are_over() {
    let now = Instant::now();
    let mut table = table(process(1), &["v1", "v2"], now);
    table.register_software(SERVICE, key("v1"), Registration::Shared, now);
    table.register_software(SERVICE, key("v2"), Registration::Process(process(1)), now);
    apply(&mut table, vec![Change { key: "v1".to_owned(), value: None }], now);
    for half in 1..4 {
        table.record_software(now + 30 * SECOND * half);
    }
    table.record_software(now + 119 * SECOND);
    assert!(table.outdated_registrations().is_empty() && table.unshared().is_empty());
    table.record_software(now + 121 * SECOND);
    let outdated = table.outdated_registrations();
    assert_eq!(outdated.len(), 1);
    assert_eq!(table.unshared(), due("v2", Registration::Shared));
    table.unregister_software(outdated[0].0, outdated[0].1);
    table.register_software(SERVICE, key("v2"), Registration::Shared, now);
    assert!(table.outdated_registrations().is_empty() && table.unshared().is_empty());
    assert_eq!(table.software(SERVICE), ServiceSoftware::One(key("v2")));
}

#[test]
fn take_unwritten_open_streams_once() {
    let (mut origins, now) = (StreamOrigins::default(), Instant::now());
    for stream in 1..=3 {
        origins.record(origin(stream, now + SECOND), SERVICE);
    }
    origins.record(origin(4, now + SECOND), "other");
    origins.merge(origin(5, now + SECOND), now);
    origins.end(2);
    assert_eq!(unwritten(&mut origins, now), [1, 3], "not those that ended or began elsewhere");
    assert!(unwritten(&mut origins, now).is_empty());
    origins.record_unwritten(&[origin(3, now + SECOND)]);
    assert_eq!(unwritten(&mut origins, now), [3], "the write failed");
    origins.end(1);
    origins.record_all_unwritten();
    assert_eq!(unwritten(&mut origins, now), [3], "the store was restored");
    origins.record_all_unwritten();
    assert!(unwritten(&mut origins, now + 7 * SECOND).is_empty(), "nobody takes them up");
}

#[rstest]
#[case(ServiceSoftware::None, None)]
#[case(ServiceSoftware::One(9), Some(3))]
#[case(ServiceSoftware::Several, Some(u64::MAX))]
fn origin_reply_on_wire(#[case] service: ServiceSoftware, #[case] software: Option<u64>) {
    let reply = OriginReply { software, service, born: Some(5) };
    let bytes = encode(&WireOriginReply::from(reply)).unwrap();
    assert_eq!(OriginReply::from(decode::<WireOriginReply>(&bytes).unwrap()), reply);
}

/// docs/CAPACITY.md counts with this size.
#[test]
fn message_size_bounded() {
    let origins = vec![WireStreamOrigin(u64::MAX, u64::MAX, u32::MAX); 1_000];
    let bytes = encode(&WireStreamOrigins { origins }).unwrap();
    assert!(bytes.len() <= 24 * 1_000 + 8, "{}", bytes.len());
}

proptest! {
    #[test]
    fn decode_any_bytes(bytes in vec(any::<u8>(), 0..300)) {
        let _ = decode::<WireStreamOrigins>(&bytes);
        let _ = decode::<WireOriginQuery>(&bytes);
        let _ = decode::<WireOriginReply>(&bytes);
    }
}
