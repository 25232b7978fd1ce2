//! Which software version began a stream, and which versions serve.

use std::time::{Duration, Instant};

use filberttiller::decide::hash_bytes;
use filberttiller::peers::{decode, encode};
use filberttiller::relay::{OriginReplies, OriginReply, StreamOrigin, StreamOrigins};
use filberttiller::servers::{
    Change, Page, Position, SeenSoftware, ServerRecord, ServerTable, ServiceSoftware,
};
use filberttiller::wire::{WireOriginQuery, WireOriginReply, WireStreamOrigin, WireStreamOrigins};
use proptest::collection::vec;
use proptest::prelude::{any, proptest};
use rstest::rstest;
use smallvec::SmallVec;

use crate::support::server_record;

const SERVICE: &str = "s";
const SECOND: Duration = Duration::from_secs(1);

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

fn key(software: &str) -> u64 {
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

fn replies(has_others: bool, all: &[ServiceSoftware]) -> OriginReplies {
    let reply = |service: &ServiceSoftware| OriginReply { software: None, service: *service };
    OriginReplies { has_others, replies: all.iter().map(reply).collect::<SmallVec<_>>() }
}

/// The only version that a router knows is trusted if other routers say the same.
#[rstest]
#[case::no_other_router(false, &[], true)]
#[case::none_reached(true, &[], false)]
#[case::agree(true, &[ServiceSoftware::One(1), ServiceSoftware::One(1)], true)]
#[case::one_just_started(true, &[ServiceSoftware::None, ServiceSoftware::One(1)], true)]
#[case::all_just_started(true, &[ServiceSoftware::None], false)]
#[case::another_version(true, &[ServiceSoftware::One(1), ServiceSoftware::One(2)], false)]
#[case::several(true, &[ServiceSoftware::One(1), ServiceSoftware::Several], false)]
fn confirm_only_version(
    #[case] has_others: bool,
    #[case] all: &[ServiceSoftware],
    #[case] expected: bool,
) {
    assert_eq!(replies(has_others, all).confirm(ServiceSoftware::One(1)), expected);
}

#[rstest]
#[case(ServiceSoftware::None, None)]
#[case(ServiceSoftware::One(9), Some(3))]
#[case(ServiceSoftware::Several, Some(u64::MAX))]
fn origin_reply_on_wire(#[case] service: ServiceSoftware, #[case] software: Option<u64>) {
    let reply = OriginReply { software, service };
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
