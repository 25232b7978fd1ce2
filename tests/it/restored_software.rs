//! What is known of the versions that began streams, after the store was restored from a copy.

use std::time::Instant;

use filberttiller::servers::Registration;
use rstest::rstest;

use crate::stream_origins::{SECOND, SERVICE, due, key, process, table};

/// Guards against a stream that goes on at the only version that a restored store names, although
/// what it lost may have named another one (ORDER).
#[rstest]
#[case::lived_through(true, &["v1"], 3, true)]
#[case::records_not_back(true, &["v1"], 2, false)]
#[case::several_versions(true, &["v1", "v2"], 119, false)]
#[case::started_later(false, &["v1"], 119, false)]
#[case::no_stream_from_before(false, &["v1"], 120, true)]
fn knows_all_software_after_restoration(
    #[case] is_follower: bool,
    #[case] seen: &[&str],
    #[case] seconds: u32,
    #[case] expected: bool,
) {
    let now = Instant::now();
    let mut table = table(process(1), seen, now);
    assert!(table.knows_all_software(SERVICE, now));
    table.note_restoration(2, now, is_follower);
    assert_eq!(table.knows_all_software(SERVICE, now + seconds * SECOND), expected);
}

/// A restoration counts from when it was first noticed; a second one counts anew.
#[test]
fn learn_restoration_first_and_last() {
    let now = Instant::now();
    let mut table = table(process(1), &["v1"], now);
    table.learn_restoration(2, now + 9 * SECOND);
    table.learn_restoration(2, now);
    assert!(table.knows_all_software(SERVICE, now + 120 * SECOND));
    table.learn_restoration(3, now + 60 * SECOND);
    table.learn_restoration(2, now);
    assert!(!table.knows_all_software(SERVICE, now + 120 * SECOND));
    assert_eq!(table.restored_at(3), Some(now + 60 * SECOND));
    assert_eq!(table.restored_at(2), None);
}

/// Guards against a router that forgets, as the store was restored, that another one may have begun
/// streams at a version (ORDER).
#[test]
fn possible_software_after_restoration() {
    let now = Instant::now();
    let mut table = table(process(1), &["v1", "v2"], now);
    table.register_software(SERVICE, key("v1"), Registration::Shared, now);
    table.register_software(SERVICE, key("v2"), Registration::Process(process(2)), now);
    table.note_restoration(2, now, true);
    assert_eq!(table.possible_software(SERVICE, &[]).len(), 2);
    assert_eq!(table.unregistered().len(), 2, "no stream begins until they are registered anew");
    table.record_software(now + 60 * SECOND);
    table.record_software(now + 120 * SECOND);
    assert_eq!(table.possible_software(SERVICE, &[]).to_vec(), [key("v1")], "streams are over");
}

/// A registration that was written before a restoration allows no stream to begin.
#[test]
fn register_former_software_allows_none() {
    let now = Instant::now();
    let mut table = table(process(1), &["v1"], now);
    table.register_former_software(SERVICE, key("v1"), Registration::Shared, now);
    assert_eq!(table.unregistered(), due("v1", Registration::Shared));
    table.register_software(SERVICE, key("v1"), Registration::Shared, now);
    assert!(table.unregistered().is_empty());
}

/// While a restored store may lack something, other routers are told of all streams.
#[test]
fn told_services_after_restoration() {
    let now = Instant::now();
    let mut table = table(process(1), &["v1"], now);
    assert_eq!(table.told_services(now).count(), 0);
    table.note_restoration(2, now, true);
    assert_eq!(table.told_services(now).collect::<Vec<_>>(), [SERVICE]);
    assert_eq!(table.told_services(now + 120 * SECOND).count(), 0);
}
