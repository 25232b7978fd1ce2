//! Whether a router takes itself to be cut off from the servers of a service.

use filberttiller::decide::ServiceReach;
use rstest::rstest;

/// Servers that fail one after the other, 0 for a new connection that is established.
fn after(results: &[u64], count: usize) -> bool {
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
    reach.is_cut_off()
}

#[rstest]
#[case::one_server_again_and_again(&[7, 7, 7, 7], 18, false)]
#[case::two_servers(&[7, 8, 7, 8], 18, false)]
#[case::three_servers(&[7, 8, 9], 18, true)]
#[case::success_between(&[7, 8, 0, 9, 7], 18, false)]
#[case::success_after(&[7, 8, 9, 0], 18, false)]
#[case::all_of_two(&[7, 8], 2, true)]
#[case::the_only_one(&[7], 1, true)]
#[case::none_known(&[7], 0, true)]
#[test]
fn cut_off(#[case] results: &[u64], #[case] count: usize, #[case] expected: bool) {
    assert_eq!(after(results, count), expected);
}

#[test]
fn change_reported_once() {
    let mut reach = ServiceReach::default();
    let changes: Vec<bool> = (1..=5).map(|it| reach.record_unconnected(it, 18)).collect();
    assert_eq!(changes, [false, false, true, false, false]);
    assert!(reach.record_connected());
    assert!(!reach.record_connected());
}

/// A third of the servers goes dark at once, as a failure domain does: connections to the others
/// are established in between, so that the router does not take itself to be cut off.
#[test]
fn domain_gone_not_cut_off() {
    let results: Vec<u64> =
        (0..1_000).map(|it| if it % 3 == 0 { 1 + it % 18 } else { 0 }).collect();
    assert!(!after(&results, 18));
}
