//! What routers decide on the calls that reach them.

use filberttiller::decide::once::{Admission, Claim, Route, route};

use super::bounds::Bounds;
use super::state::{GOOD, Guard, OP, Resend, Router, Run, Stage, State, Step, Told};

impl Bounds {
    /// Lets the router at which a send is work on it.
    pub(super) fn handle(&self, state: &mut State, i: usize) {
        let Resend::At { router: r, forwarded, step } = state.sends[i] else { return };
        if step == Step::Waiting {
            return self.look(state, i, r);
        }
        let me = Bounds::me(state, r);
        let (holder, since) = self.holder(state, r);
        let mut way = route(me, holder, forwarded);
        if !self.has(Guard::OwnerOnly) && matches!(way, Route::Forward(_)) {
            way = Route::Own;
        }
        match way {
            Route::Own => {
                let age = state.now.saturating_sub(since);
                let now = state.now;
                let ledger = &mut state.routers[r].ledger;
                let admit = match self.issued {
                    true => ledger.admit_issued(&OP, age, GOOD, now),
                    false => ledger.admit_claimed(&OP, age, GOOD, now),
                };
                match admit {
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
                        state.sends[i] = Resend::At { router: r, forwarded, step: Step::Waiting };
                    }
                    admit => self.tell_admit(state, i, r, forwarded, &admit),
                }
            }
            Route::Forward(owner) => {
                let to = owner.router as usize;
                if state.routers[to].up {
                    state.sends[i] =
                        Resend::At { router: to, forwarded: true, step: Step::Arrived };
                } else {
                    self.tell_gone(state, i);
                }
            }
            Route::OwnerGone => self.tell_gone(state, i),
            Route::Claim => {
                if state.routers[r].made.is_none() {
                    state.routers[r].made = Some(state.now);
                    state.appends.push(Claim { owner: me, op: OP });
                }
                state.sends[i] = Resend::At { router: r, forwarded, step: Step::Claiming };
            }
        }
    }

    /// Looks whether the run that a send waits for has ended.
    pub(super) fn look(&self, state: &mut State, i: usize, r: usize) {
        match state.routers[r].ledger.peek(&OP) {
            Some(Admission::Wait) => {}
            Some(admit) => self.tell_admit(state, i, r, false, &admit),
            None => self.tell(state, i, Told::Maybe),
        }
    }

    pub(super) fn tell_admit(
        &self,
        state: &mut State,
        i: usize,
        r: usize,
        forwarded: bool,
        admit: &Admission<u8>,
    ) {
        let told = match admit {
            Admission::Answer(n) => Told::Ran(*n),
            Admission::Expired | Admission::Full => Told::NotRun,
            Admission::Run | Admission::Wait => {
                state.sends[i] = Resend::At { router: r, forwarded, step: Step::Waiting };
                return;
            }
            Admission::Ran | Admission::Lost | Admission::OtherBody | Admission::Forgotten => {
                Told::Maybe
            }
        };
        self.tell(state, i, told);
    }

    pub(super) fn tell_gone(&self, state: &mut State, i: usize) {
        let told = if self.has(Guard::GoneMaybe) { Told::Maybe } else { Told::NotRun };
        self.tell(state, i, told);
    }

    pub(super) fn tell(&self, state: &mut State, i: usize, told: Told) {
        let recent = state.ran_at.iter().any(|at| self.issued || state.now - at < GOOD);
        let under_way = state.runs.iter().any(|it| it.stage == Stage::Sent);
        state.false_not_run |= told == Told::NotRun && (recent || under_way);
        state.sends[i] = Resend::Done(told);
    }

    /// A claim was not settled in time.
    pub(super) fn no_claim(&self, state: &mut State, i: usize, r: usize) {
        let silent = |it: &Router| !it.up || it.paused;
        let unseen = |it: &Router| {
            let complete = it.complete || !self.has(Guard::Complete);
            let known = it.index.held(&OP.scope).is_some() || it.ledger.peek(&OP).is_some();
            complete && !known
        };
        let other = &state.routers[1 - r];
        let nowhere = unseen(&state.routers[r]) && unseen(other) && !silent(other);
        let told = if nowhere || !self.has(Guard::PeersAsked) { Told::NotRun } else { Told::Maybe };
        self.tell(state, i, told);
    }
}
