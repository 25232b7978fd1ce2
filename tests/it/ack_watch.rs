//! Whether the peer of a connection is gone: peers that acknowledge and read nothing, and links that
//! are cut.

use std::time::{Duration, Instant};

use filberttiller::decide::{AckWatch, PeerState, SendState};
use rstest::rstest;

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Pause between two looks.
const INTERVAL: Duration = millis(500);

const IDLE: SendState = SendState {
    acked_bytes: 100,
    unacked_segments: 0,
    unsent_bytes: 0,
    unanswered_probes: 0,
    since_ack: millis(30_000),
};

/// Bytes are on their way, and the last acknowledgement came `since_ack` ago.
fn unacked(since_ack: Duration) -> SendState {
    SendState { unacked_segments: 3, since_ack, ..IDLE }
}

/// The window is closed, and the last `probes` probes were not answered.
fn closed(probes: u8, since_ack: Duration) -> SendState {
    SendState { unsent_bytes: 6_000, unanswered_probes: probes, since_ack, ..IDLE }
}

/// Looks at a connection every half second; returns when its peer counts as gone.
fn gone_after(state: impl Fn(Duration) -> SendState, limit: Duration) -> Option<Duration> {
    let began = Instant::now();
    let mut watch = AckWatch::new(began);
    let mut age = INTERVAL;
    while age <= limit {
        match watch.check(&state(age), began + age) {
            PeerState::Gone => return Some(age),
            PeerState::Busy => age += INTERVAL,
            PeerState::Idle => return None,
        }
    }
    None
}

/// Guards against answers that break off while the caller reads slowly or not at all, but
/// acknowledges each probe of its window (LOST).
#[rstest]
#[case::seconds_3(3)]
#[case::seconds_10(10)]
#[case::seconds_30(30)]
fn check_closed_window_of_live_peer(#[case] seconds: u64) {
    // Probes come ever less often, and one of them may not be answered yet.
    let state = |age: Duration| closed(u8::from(age.as_millis().is_multiple_of(1_000)), age / 2);
    assert_eq!(gone_after(state, Duration::from_secs(seconds)), None);
}

/// Guards against a router that notices a cut link later than before, in 2 s.
#[rstest]
#[case::after_last_ack(0)]
#[case::after_idle_time(30_000)]
fn check_unacked_of_dead_peer(#[case] idle_ms: u64) {
    let state = |age: Duration| unacked(millis(idle_ms) + age);
    assert_eq!(gone_after(state, millis(9_000)), Some(millis(2_000)));
}

/// The peer went while its window was closed: probes are no longer answered.
#[test]
fn check_closed_window_of_dead_peer() {
    let state = |age: Duration| match age < millis(3_000) {
        true => closed(0, millis(100)),
        false => closed(2, age - millis(2_900)),
    };
    assert_eq!(gone_after(state, millis(9_000)), Some(millis(5_000)));
}

/// Guards against a live peer that counts as gone as the link is slow or loses packets.
#[test]
fn check_late_acks_of_live_peer() {
    let state = |age: Duration| {
        let acked_bytes = (age.as_millis() / 1_500) as u64;
        SendState { acked_bytes, ..unacked(millis(age.as_millis() as u64 % 1_500)) }
    };
    assert_eq!(gone_after(state, millis(20_000)), None);
}

/// Where the system does not tell when the last acknowledgement came, the acknowledged bytes count.
#[rstest]
#[case::dead(0, Some(millis(2_000)))]
#[case::live(1, None)]
fn check_time_not_told(#[case] acked: u64, #[case] expected: Option<Duration>) {
    let state = |age: Duration| {
        let acked_bytes = acked * (age.as_millis() / 1_000) as u64;
        SendState { acked_bytes, ..unacked(Duration::ZERO) }
    };
    assert_eq!(gone_after(state, millis(20_000)), expected);
}

#[test]
fn check_all_acknowledged() {
    let began = Instant::now();
    let mut watch = AckWatch::new(began);
    assert_eq!(watch.check(&unacked(millis(600)), began + INTERVAL), PeerState::Busy);
    assert_eq!(watch.check(&IDLE, began + 2 * INTERVAL), PeerState::Idle);
}
