//! Whether a router takes itself to be cut off from the servers of a service.

use filberttiller::decide::{ReachChange, ReachState, ServiceReach};
use rstest::rstest;

/// Servers that fail one after the other, 0 for a new connection that is established.
fn after(results: &[u64], count: usize) -> ServiceReach {
    let mut reach = ServiceReach::default();
    for it in results {
        match it {
            0 => {
                reach.record_connected();
            }
            server => {
                reach.record_unconnected(*server, count);
            }
        }
    }
    reach
}

#[rstest]
#[case::one_server_again_and_again(&[7, 7, 7, 7], 18, ReachState::Reached)]
#[case::two_servers(&[7, 8, 7, 8], 18, ReachState::Reached)]
#[case::three_servers(&[7, 8, 9], 18, ReachState::Suspected)]
#[case::success_between(&[7, 8, 0, 9, 7], 18, ReachState::Reached)]
#[case::success_after(&[7, 8, 9, 0], 18, ReachState::Reached)]
#[case::all_of_three(&[7, 8, 9], 3, ReachState::CutOff)]
#[case::all_of_two(&[7, 8], 2, ReachState::CutOff)]
#[case::the_only_one(&[7], 1, ReachState::CutOff)]
#[case::none_known(&[7], 0, ReachState::CutOff)]
#[test]
fn record_unconnected_state(
    #[case] results: &[u64],
    #[case] count: usize,
    #[case] expected: ReachState,
) {
    assert_eq!(after(results, count).state(), expected);
}

/// Half of the servers restart at once: three refuse new connections one after the other, while
/// the others run. The router must not send its requests on to others.
#[rstest]
#[case::none_reached(&[(0, 7)], ReachState::CutOff)]
#[case::one_reached_throughout(&[(1, 7)], ReachState::CutOff)]
#[case::half_gone(&[(4, 7)], ReachState::Reached)]
#[case::two_domains_of_three_gone(&[(2, 7)], ReachState::Reached)]
#[case::cut_off_holds(&[(0, 7), (1, 7), (3, 7)], ReachState::CutOff)]
#[case::cut_off_ends(&[(0, 7), (4, 7)], ReachState::Reached)]
#[case::no_servers_left(&[(0, 7), (0, 0)], ReachState::Reached)]
#[case::no_servers_when_suspected(&[(0, 0)], ReachState::Reached)]
fn record_probes_state(#[case] results: &[(usize, usize)], #[case] expected: ReachState) {
    let mut reach = after(&[7, 8, 9], 18);
    for (reached, probed) in results {
        reach.record_probes(*reached, *probed);
    }
    assert_eq!(reach.state(), expected);
}

#[test]
fn change_reported_once() {
    let mut reach = ServiceReach::default();
    let change = |from, to| Some(ReachChange { from, to });
    let suspected = change(ReachState::Reached, ReachState::Suspected);
    let changes: Vec<_> = (1..=5).map(|it| reach.record_unconnected(it, 18)).collect();
    assert_eq!(changes, [None, None, suspected, None, None]);
    let cut_off = change(ReachState::Suspected, ReachState::CutOff);
    assert_eq!(reach.record_probes(0, 7), cut_off);
    assert_eq!(reach.record_probes(0, 7), None);
    assert_eq!(reach.record_connected(), change(ReachState::CutOff, ReachState::Reached));
    assert_eq!(reach.record_connected(), None);
}

/// A third of the servers goes dark at once, as a failure domain does: connections to the others
/// are established in between, so that the router does not take itself to be cut off.
#[test]
fn domain_gone_not_cut_off() {
    let results: Vec<u64> =
        (0..1_000).map(|it| if it % 3 == 0 { 1 + it % 18 } else { 0 }).collect();
    assert_eq!(after(&results, 18).state(), ReachState::Reached);
}
