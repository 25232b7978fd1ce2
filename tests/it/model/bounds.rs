//! Bounds of one search: how it starts and what must never be.

use filberttiller::check::Model;
use filberttiller::decide::once::{Holder, Owner};

use super::state::{Action, GOOD, Guard, OP, Resend, State, Told, fresh};

/// Bounds of one search.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bounds {
    pub(super) issued: bool,
    pub(super) sends: usize,
    pub(super) crashes: u8,
    pub(super) pauses: u8,
    pub(super) losses: u8,
    pub(super) refusals: u8,
    pub(super) ticks: u64,
    /// Whether callers give up and appends get lost.
    pub(super) quits: bool,
    pub(super) without: Option<Guard>,
}

impl Bounds {
    pub(super) fn has(&self, guard: Guard) -> bool {
        self.without != Some(guard)
    }

    pub(super) fn me(state: &State, r: usize) -> Owner {
        Owner { router: r as u64, incarnation: state.routers[r].incarnation }
    }

    pub(super) fn holder(&self, state: &State, r: usize) -> (Holder, u64) {
        if self.issued {
            return (Holder::Known(Owner { router: 0, incarnation: 0 }), 0);
        }
        let router = &state.routers[r];
        if let (false, Some(made)) = (self.has(Guard::ReadBack), router.made) {
            return (Holder::Known(Bounds::me(state, r)), made);
        }
        let held = router.index.held(&OP.scope);
        held.map_or((Holder::Unclaimed, 0), |it| (Holder::Known(it.owner), it.at_ms))
    }
}

impl Model for Bounds {
    type State = State;
    type Action = Action;

    fn start(&self) -> State {
        State {
            now: 0,
            routers: [fresh(), fresh()],
            sends: vec![Resend::Unsent; self.sends],
            log: Vec::new(),
            appends: Vec::new(),
            runs: Vec::new(),
            ran_at: Vec::new(),
            false_not_run: false,
            crashes: 0,
            pauses: 0,
            losses: 0,
            refusals: 0,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let step = |action: Action| {
            let mut next = state.clone();
            self.apply(&mut next, action);
            (action, next)
        };
        self.actions(state).into_iter().map(step).collect()
    }

    fn fault(&self, state: &State) -> Option<&'static str> {
        let close = |it: &[u64]| self.issued || it[1] - it[0] < GOOD;
        if state.ran_at.windows(2).any(close) {
            return Some("ran twice");
        }
        if state.false_not_run {
            return Some("told not_run although it ran");
        }
        let answers = state.sends.iter().filter_map(|it| match it {
            Resend::Done(Told::Ran(n)) => Some(*n),
            _ => None,
        });
        let later = answers.fold(0, u8::max) > 1 && state.ran_at.len() < 2;
        later.then_some("a repeat got another answer")
    }
}
