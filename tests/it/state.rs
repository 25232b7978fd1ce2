//! Tickets and the fold.

use filberttiller::state::{InForce, Rejection, Ticket};
use filberttiller::wire::parse_ticket;

fn ticket(number: u64, pool: &str) -> Ticket {
    let text = format!(
        r#"{{"version": 1, "number": {number}, "objects": [
            {{"kind": "model", "name": "assistant", "spec": {{"pool": "{pool}"}}}}]}}"#
    );
    parse_ticket(&text).unwrap().1
}

#[test]
fn fold_accepts_higher_number() {
    let mut state = InForce::default();
    state.fold(0, Ok(ticket(1, "a")));
    state.fold(1, Ok(ticket(2, "b")));
    assert_eq!(state.model("assistant").unwrap().pool, "b");
}

#[test]
fn fold_rejects_lower_number() {
    let mut state = InForce::default();
    state.fold(0, Ok(ticket(2, "b")));
    state.fold(1, Ok(ticket(1, "a")));
    assert_eq!(state.model("assistant").unwrap().pool, "b");
    let rejection = state.outcomes[&1].rejection.clone().unwrap();
    assert!(matches!(rejection, Rejection::Outdated { number: 2, .. }));
}
