//! The event store, hybrid logical time, and pages that list events or settings.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use filberttiller::clock::{Clock, ManualClock};
use filberttiller::events::{Code, EventLog, Fields, HybridClock, HybridTime, discard_logger};
use filberttiller::settings::DEFAULT_TEXT;
use proptest::prelude::*;
use rstest::rstest;
use serde_json::Value;

const EVENTS_PAGE: &str = include_str!("../../docs/EVENTS.md");
const SETTINGS_PAGE: &str = include_str!("../../docs/SETTINGS.md");

/// Cells of the table rows whose first cell `is_row` accepts.
fn rows(page: &str, is_row: impl Fn(&str) -> bool) -> Vec<Vec<&str>> {
    let lines = page.lines().filter_map(|it| it.strip_prefix("| "));
    let cells = lines.map(|it| it.trim_end_matches(" |").split(" | ").collect::<Vec<_>>());
    cells.filter(|it| is_row(it[0])).collect()
}

#[test]
fn events_page_same_as_catalogue() {
    let rows = rows(EVENTS_PAGE, |it| it.parse::<u16>().is_ok());
    let listed: Vec<_> =
        rows.iter().map(|it| (it[0].parse::<u16>().unwrap(), it[1], it[2])).collect();
    let known: Vec<_> = Code::ALL.iter().map(|it| (it.number(), it.name(), it.text())).collect();
    assert_eq!(listed, known);
    assert!(rows.iter().all(|it| it.len() == 4 && !it[3].is_empty()));
}

/// Adds the dotted paths of all values below `value` to `found`.
fn collect_keys(prefix: &str, value: &Value, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(map) => {
            for (key, it) in map {
                let dot = if prefix.is_empty() { "" } else { "." };
                collect_keys(&format!("{prefix}{dot}{key}"), it, found);
            }
        }
        _ => drop(found.insert(prefix.to_owned())),
    }
}

#[test]
fn settings_page_same_as_default_text() {
    let mut known = BTreeSet::new();
    collect_keys("", &json5::from_str(DEFAULT_TEXT).unwrap(), &mut known);
    let rows = rows(SETTINGS_PAGE, |it| it.starts_with('`'));
    let listed: BTreeSet<String> = rows.iter().map(|it| it[0].replace('`', "")).collect();
    assert_eq!(listed, known);
    assert_eq!(rows.len(), listed.len(), "a key is listed twice");
}

#[test]
fn settings_page_same_defaults() {
    let text: Value = json5::from_str(DEFAULT_TEXT).unwrap();
    let rows = rows(SETTINGS_PAGE, |it| it.starts_with('`'));
    for row in rows.iter().filter(|it| it[1] != "none") {
        let path = row[0].replace('`', "").replace('.', "/");
        let value = text.pointer(&format!("/{path}")).unwrap();
        let shown = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        assert_eq!(row[1].replace('`', ""), shown, "{path}");
    }
}

fn wall(micros: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_micros(micros)
}

#[test]
fn tick_grows_when_wall_stops_or_jumps_back() {
    let clock = HybridClock::default();
    let times = [500, 500, 499, 10, 501].map(|it| clock.tick(wall(it)));
    assert!(times.is_sorted_by(|a, b| a < b), "{times:?}");
    assert_eq!(times[4].micros(), 501);
}

#[test]
fn observe_puts_later_events_after() {
    let (fast, slow) = (HybridClock::default(), HybridClock::default());
    let sent = fast.tick(wall(10_000_000));
    assert!(slow.observe(sent, wall(1_000)));
    assert!(slow.tick(wall(1_001)) > sent);
}

#[test]
fn observe_ignores_far_future() {
    let clock = HybridClock::default();
    let far = HybridTime::from_wall(wall(7_200_000_000));
    assert!(!clock.observe(far, wall(0)));
    assert!(clock.tick(wall(1)) < far);
}

proptest! {
    /// Between processes with any clock skew, an event after the receipt of a message
    /// has a later time than the message.
    #[test]
    fn hybrid_time_follows_messages(
        skews in prop::collection::vec(0u64..3_000_000_000, 4),
        steps in prop::collection::vec((0usize..4, 0usize..4), 1..60),
    ) {
        let clocks: [HybridClock; 4] = Default::default();
        let mut last = [HybridTime::default(); 4];
        for (i, (from, to)) in steps.into_iter().enumerate() {
            let now = |process: usize| wall(skews[process] + i as u64);
            let sent = clocks[from].tick(now(from));
            prop_assert!(sent > last[from]);
            last[from] = sent;
            prop_assert!(clocks[to].observe(sent, now(to)));
            let received = clocks[to].tick(now(to));
            prop_assert!(received > sent && received > last[to]);
            last[to] = received;
        }
    }

    #[test]
    fn hybrid_time_text_round_trip(micros in 0u64..1 << 50) {
        let time = HybridTime::from_wall(wall(micros));
        prop_assert_eq!(time.to_string().parse::<HybridTime>().unwrap(), time);
        prop_assert_eq!(time.micros(), micros);
    }
}

fn log(ring: usize) -> (EventLog, Arc<ManualClock>) {
    let clock = Arc::new(ManualClock::new());
    let it: Arc<dyn Clock> = clock.clone();
    (EventLog::new("entry-1", it, discard_logger()).with_ring(ring), clock)
}

#[test]
fn record_keeps_texts() {
    let (log, _) = log(10);
    let long = "x".repeat(300);
    log.record(Code::Placed, Fields { subject: "a", detail: &long });
    let events = log.since(0);
    assert_eq!((events[0].subject.as_str(), events[0].detail.as_str()), ("a", long.as_str()));
    assert_eq!((events[0].code, events[0].name.as_str()), (400, "Placed"));
}

#[rstest]
#[case::exactly_full(10, 10, 0, 0)]
#[case::one_over(11, 10, 1, 1)]
#[case::many_over(100, 10, 90, 90)]
fn record_counts_dropped(
    #[case] count: usize,
    #[case] kept: usize,
    #[case] dropped: u64,
    #[case] complete_from: u64,
) {
    let (log, _) = log(10);
    for _ in 0..count {
        log.record(Code::Placed, Fields::default());
    }
    let page = log.page(0);
    assert_eq!(page.events.len(), kept);
    assert_eq!((page.dropped, page.complete_from), (dropped, complete_from));
    assert!(page.events.iter().map(|it| it.seq).eq(complete_from..count as u64));
}

#[test]
fn record_from_threads_complete() {
    let (log, _) = log(1_000);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for _ in 0..250 {
                    log.record(Code::Placed, Fields::default());
                }
            });
        }
    });
    let page = log.page(0);
    assert_eq!((page.events.len(), page.dropped), (1_000, 0));
    let times: BTreeMap<_, _> = page.events.iter().map(|it| (it.time, it.seq)).collect();
    assert_eq!(times.len(), 1_000, "two events have the same time");
}

#[test]
fn operating_page_names_known_events() {
    let page = include_str!("../../docs/OPERATING.md");
    let known: BTreeSet<u16> = Code::ALL.iter().map(|it| it.number()).collect();
    let words = page.split(|it: char| !it.is_ascii_alphanumeric() && it != '.');
    let named: BTreeSet<u16> =
        words.filter(|it| it.len() == 3).filter_map(|it| it.parse().ok()).collect();
    assert!(named.len() > 10);
    assert!(named.is_subset(&known), "{:?}", named.difference(&known));
}
