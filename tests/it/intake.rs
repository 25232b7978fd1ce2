//! Which client makes room for others, and the memory that is reserved.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filberttiller::decide::{ClientPhase, ClientState, Scarcity, client_to_close, is_over_share};
use filberttiller::intake::{IntakeLimits, Listener, MemoryBudget};
use rstest::rstest;

const MB: usize = 1024 * 1024;

fn client(host: u8, phase: ClientPhase, age_ms: u64, rate: f64, held: usize) -> ClientState {
    let since = Instant::now() - Duration::from_millis(age_ms);
    ClientState { address: IpAddr::from([10, 0, 0, host]), phase, since, rate, held }
}

/// Guards against the close of a connection whose client behaves.
#[rstest]
#[case::waits(ClientPhase::Waiting, 60_000, 0.0, 4 * MB)]
#[case::sends_fast(ClientPhase::Sending, 60_000, 1e6, 4 * MB)]
#[case::sends_since_now(ClientPhase::Sending, 200, 0.0, 4 * MB)]
#[case::reads(ClientPhase::Reading, 900, 0.0, 4 * MB)]
#[case::idle_gives_no_memory(ClientPhase::Idle, 60_000, 0.0, 0)]
fn client_to_close_spares(
    #[case] phase: ClientPhase,
    #[case] age_ms: u64,
    #[case] rate: f64,
    #[case] held: usize,
) {
    let clients = [client(1, phase, age_ms, rate, held)];
    assert_eq!(client_to_close(&clients, Scarcity::Memory, Instant::now()), None);
}

/// Guards against crowds that stop half-way: the one that holds most, then the slowest, goes first.
#[rstest]
#[case::heaviest_address(
    [client(1, ClientPhase::Sending, 9_000, 0.0, MB), client(2, ClientPhase::Reading, 3_000, 0.0, 2 * MB)],
    Scarcity::Memory, 1
)]
#[case::sender_before_reader(
    [client(1, ClientPhase::Reading, 9_000, 0.0, MB), client(1, ClientPhase::Sending, 3_000, 9.0, MB)],
    Scarcity::Memory, 1
)]
#[case::slowest(
    [client(1, ClientPhase::Sending, 9_000, 9.0, MB), client(1, ClientPhase::Sending, 3_000, 0.0, MB)],
    Scarcity::Memory, 1
)]
#[case::oldest(
    [client(1, ClientPhase::Sending, 3_000, 0.0, MB), client(1, ClientPhase::Sending, 9_000, 0.0, MB)],
    Scarcity::Memory, 1
)]
#[case::idle_for_connections(
    [client(1, ClientPhase::Waiting, 9_000, 0.0, MB), client(2, ClientPhase::Idle, 3_000, 0.0, 0)],
    Scarcity::Connections, 1
)]
fn client_to_close_order(
    #[case] clients: [ClientState; 2],
    #[case] scarcity: Scarcity,
    #[case] expected: usize,
) {
    assert_eq!(client_to_close(&clients, scarcity, Instant::now()), Some(expected));
}

/// Guards against one address that takes all while others wait.
#[rstest]
#[case::little_used(60, 70, false)]
#[case::small_share(40, 90, false)]
#[case::large_share(60, 90, true)]
fn is_over_share_near_limit(#[case] own: usize, #[case] used: usize, #[case] expected: bool) {
    assert_eq!(is_over_share(own, used, 100), expected);
}

/// Guards against bytes that count twice, or never again once they are released.
#[test]
fn budget_reserves_up_to_limit() {
    let budget = Arc::new(MemoryBudget::new(100));
    let first = budget.reserve(60).unwrap();
    assert!(budget.reserve(41).is_none());
    let second = budget.reserve(40).unwrap();
    drop(first);
    assert_eq!(budget.used(), 40);
    drop(second);
    assert_eq!(budget.used(), 0);
}

/// Guards against a small machine that can't hold one request of the largest size.
#[test]
fn callers_bytes_hold_largest_body() {
    let limits = IntakeLimits::of_machine(32 * MB, 200);
    assert!(limits.callers_bytes >= 2 * 4 * MB, "{} bytes", limits.callers_bytes);
}

/// Guards against limits that leave no descriptors for servers, other routers and the store.
#[test]
fn connections_leave_descriptors() {
    let limits = IntakeLimits::of_machine(112 * MB, 2_670);
    let doors =
        [Listener::Callers, Listener::Ready, Listener::Entry, Listener::Peers, Listener::Metrics];
    let all: usize = doors.iter().map(|it| limits.connections(*it)).sum();
    assert!(all <= 2_670 * 3 / 4, "{all} connections");
}
