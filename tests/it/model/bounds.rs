//! Bounds of one search, its start state and the faults that it looks for.

use filberttiller::check::Model;
use filberttiller::decide::once::{Holder, Owner};

use super::state::{Action, CallVerdict, Guard, OP, SendState, State, VALID_TICKS, new_router};

/// Bounds of one search. Counts are maximum numbers.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bounds {
    /// Whether router 0 issued the key; else routers claim it.
    pub(super) issued: bool,
    /// Number of times that the call is sent.
    pub(super) sends: usize,
    pub(super) crashes: u8,
    pub(super) pauses: u8,
    /// Lost replies.
    pub(super) losses: u8,
    /// Refused runs.
    pub(super) refusals: u8,
    pub(super) ticks: u64,
    /// Whether callers give up and appends get lost.
    pub(super) quits: bool,
    /// The guard that is left out.
    pub(super) without: Option<Guard>,
}

impl Bounds {
    pub(super) fn has(&self, guard: Guard) -> bool {
        self.without != Some(guard)
    }

    /// Router `r` as an owner of keys.
    pub(super) fn owner(state: &State, r: usize) -> Owner {
        Owner { router: r as u64, incarnation: state.routers[r].incarnation }
    }

    /// What router `r` knows about the owner of the key, and when the key was claimed.
    pub(super) fn holder(&self, state: &State, r: usize) -> (Holder, u64) {
        if self.issued {
            return (Holder::Known(Owner { router: 0, incarnation: 0 }), 0);
        }
        let router = &state.routers[r];
        if let (false, Some(at)) = (self.has(Guard::ReadBack), router.claimed_at) {
            return (Holder::Known(Bounds::owner(state, r)), at);
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
            routers: [new_router(), new_router()],
            sends: vec![SendState::Unsent; self.sends],
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
        let too_close = |it: &[u64]| self.issued || it[1] - it[0] < VALID_TICKS;
        if state.ran_at.windows(2).any(too_close) {
            return Some("ran twice");
        }
        if state.false_not_run {
            return Some("answered not_run although the call ran");
        }
        let answers = state.sends.iter().filter_map(|it| match it {
            SendState::Done(CallVerdict::Ran(n)) => Some(*n),
            _ => None,
        });
        let differs = answers.fold(0, u8::max) > 1 && state.ran_at.len() < 2;
        differs.then_some("a repeated call got another answer")
    }
}
