//! The searches: every order of steps is safe, and no guard can be left out.

use filberttiller::check::{Report, search};
use rstest::rstest;

use super::bounds::Bounds;
use super::state::{Action, Guard};

/// Maximum number of states of a search.
const MAX_STATES: usize = 4_000_000;

fn report(bounds: Bounds) -> Report<Action> {
    let report = search(&bounds, MAX_STATES);
    let Report { states, steps, depth, .. } = report;
    println!("{bounds:?}: {states} states, {steps} steps, depth {depth}");
    report
}

/// Two sends of the call, a crash, a pause, a lost reply and a refused run.
const ALL: Bounds = Bounds {
    issued: false,
    sends: 2,
    crashes: 1,
    pauses: 1,
    losses: 1,
    refusals: 1,
    ticks: 0,
    quits: true,
    without: None,
};

/// Time may pass between any two steps, until claims expire. Pauses are left out: a router
/// that takes no step behaves like a paused one.
const AGEING: Bounds =
    Bounds { crashes: 0, pauses: 0, losses: 0, refusals: 0, ticks: 2, quits: false, ..ALL };

#[rstest]
#[case::own_key(ALL)]
#[case::issued_key(Bounds { issued: true, sends: 3, ..ALL })]
#[case::own_key_ageing(Bounds { losses: 1, refusals: 1, ..AGEING })]
#[case::issued_key_ageing(Bounds { issued: true, ticks: 2, ..ALL })]
fn every_order_is_safe(#[case] bounds: Bounds) {
    let report = report(bounds);
    assert!(report.fault.is_none(), "{:#?}", report.fault);
    assert!(report.states > 1_000, "the search is too small to mean anything");
}

#[rstest]
#[case::owner_only(Guard::OwnerOnly, ALL)]
#[case::incarnation(Guard::Incarnation, ALL)]
#[case::incarnation_issued(Guard::Incarnation, Bounds { issued: true, ..ALL })]
#[case::first_claim(Guard::FirstClaim, ALL)]
#[case::read_back(Guard::ReadBack, ALL)]
#[case::lost_reply(Guard::LostReply, ALL)]
#[case::gone_owner(Guard::GoneOwner, ALL)]
#[case::peers_polled(Guard::PeersPolled, ALL)]
#[case::complete_log(Guard::CompleteLog, ALL)]
#[case::claim_age(Guard::ClaimAge, AGEING)]
#[case::deadline(Guard::Deadline, AGEING)]
#[case::refusal_age(Guard::RefusalAge, Bounds { refusals: 1, ..AGEING })]
fn missing_guard_is_found(#[case] guard: Guard, #[case] bounds: Bounds) {
    let report = report(Bounds { without: Some(guard), ..bounds });
    let fault = report.fault.expect("the search found nothing wrong");
    println!("without {guard:?}: {} after {:?}", fault.what, fault.path);
}
