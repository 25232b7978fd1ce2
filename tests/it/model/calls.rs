//! The decisions of routers on the calls that reach them.

use filberttiller::decide::once::{Admission, Claim, Route, route};

use super::bounds::Bounds;
use super::state::{
    CallVerdict, Guard, OP, Router, Run, SendState, Stage, State, Step, VALID_TICKS,
};

impl Bounds {
    /// Lets the router that a send has reached handle it.
    pub(super) fn handle(&self, state: &mut State, i: usize) {
        let SendState::At { router: r, forwarded, step } = state.sends[i] else { return };
        if step == Step::Waiting {
            return self.poll_run(state, i, r);
        }
        let me = Bounds::owner(state, r);
        let (holder, since) = self.holder(state, r);
        let mut decision = route(me, holder, forwarded);
        if !self.has(Guard::OwnerOnly) && matches!(decision, Route::Forward(_)) {
            decision = Route::Own;
        }
        match decision {
            Route::Own => {
                let age = state.now.saturating_sub(since);
                let now = state.now;
                let ledger = &mut state.routers[r].ledger;
                let admission = match self.issued {
                    true => ledger.admit_issued(&OP, age, VALID_TICKS, now),
                    false => ledger.admit_claimed(&OP, age, VALID_TICKS, now),
                };
                match admission {
                    Admission::Run => {
                        let until = now;
                        let run = Run {
                            router: r,
                            send: i,
                            incarnation: me.incarnation,
                            since,
                            until,
                            stage: Stage::Admitted,
                        };
                        state.runs.push(run);
                        state.sends[i] =
                            SendState::At { router: r, forwarded, step: Step::Waiting };
                    }
                    admission => self.answer_admission(state, i, r, forwarded, &admission),
                }
            }
            Route::Forward(owner) => {
                let to = owner.router as usize;
                if state.routers[to].up {
                    state.sends[i] =
                        SendState::At { router: to, forwarded: true, step: Step::Arrived };
                } else {
                    self.answer_owner_gone(state, i);
                }
            }
            Route::OwnerGone => self.answer_owner_gone(state, i),
            Route::Claim => {
                if state.routers[r].claimed_at.is_none() {
                    state.routers[r].claimed_at = Some(state.now);
                    state.appends.push(Claim { owner: me, op: OP });
                }
                state.sends[i] = SendState::At { router: r, forwarded, step: Step::Claiming };
            }
        }
    }

    /// Checks whether the run that a send waits for has ended.
    pub(super) fn poll_run(&self, state: &mut State, i: usize, r: usize) {
        match state.routers[r].ledger.peek(&OP) {
            Some(Admission::Wait) => {}
            Some(admission) => self.answer_admission(state, i, r, false, &admission),
            None => self.answer(state, i, CallVerdict::MayHaveRun),
        }
    }

    /// Answers a send as the ledger decided, or lets it wait.
    pub(super) fn answer_admission(
        &self,
        state: &mut State,
        i: usize,
        r: usize,
        forwarded: bool,
        admission: &Admission<u8>,
    ) {
        let verdict = match admission {
            Admission::Answer(n) => CallVerdict::Ran(*n),
            Admission::Expired | Admission::Full => CallVerdict::NotRun,
            Admission::Run | Admission::Wait => {
                state.sends[i] = SendState::At { router: r, forwarded, step: Step::Waiting };
                return;
            }
            Admission::Ran | Admission::Lost | Admission::OtherBody | Admission::Forgotten => {
                CallVerdict::MayHaveRun
            }
        };
        self.answer(state, i, verdict);
    }

    /// Answers a send for which the owner of the key is gone.
    pub(super) fn answer_owner_gone(&self, state: &mut State, i: usize) {
        let verdict =
            if self.has(Guard::GoneOwner) { CallVerdict::MayHaveRun } else { CallVerdict::NotRun };
        self.answer(state, i, verdict);
    }

    /// Ends a send with an answer to its caller; records whether a `not_run` is false.
    pub(super) fn answer(&self, state: &mut State, i: usize, verdict: CallVerdict) {
        let recent = state.ran_at.iter().any(|at| self.issued || state.now - at < VALID_TICKS);
        let in_flight = state.runs.iter().any(|it| it.stage == Stage::Sent);
        state.false_not_run |= verdict == CallVerdict::NotRun && (recent || in_flight);
        state.sends[i] = SendState::Done(verdict);
    }

    /// Answers a send whose claim was not settled in time.
    pub(super) fn claim_timed_out(&self, state: &mut State, i: usize, r: usize) {
        let silent = |it: &Router| !it.up || it.paused;
        let unseen = |it: &Router| {
            let complete = it.complete || !self.has(Guard::CompleteLog);
            let known = it.index.held(&OP.scope).is_some() || it.ledger.peek(&OP).is_some();
            complete && !known
        };
        let other = &state.routers[1 - r];
        let is_unseen = unseen(&state.routers[r]) && unseen(other) && !silent(other);
        let not_run = is_unseen || !self.has(Guard::PeersPolled);
        self.answer(state, i, if not_run { CallVerdict::NotRun } else { CallVerdict::MayHaveRun });
    }
}
