//! Every step that can be taken.

use filberttiller::decide::once::{ClaimIndex, RunOutcome, stays_owner};

use super::bounds::Bounds;
use super::state::{Action, GOOD, Guard, OP, Resend, Router, Stage, State, Step, Told, fresh};

impl Bounds {
    /// Reads the next record of the log, or finds that there is none.
    pub(super) fn tail(&self, state: &mut State, r: usize) {
        let me = Bounds::me(state, r);
        let now = state.now;
        let router = &mut state.routers[r];
        if let Some(claim) = state.log.get(router.read) {
            let own = claim.owner == me;
            let made = router.made.filter(|_| own && self.has(Guard::ClaimAge));
            if !self.has(Guard::FirstClaim) {
                router.index = ClaimIndex::default();
            }
            router.index.apply(claim, made.unwrap_or(now), now);
            router.read += 1;
            if own {
                router.made = None;
            }
        }
        router.complete |= router.read == state.log.len();
    }

    pub(super) fn start_run(&self, state: &mut State, k: usize) {
        if state.runs[k].until < state.now && self.has(Guard::Deadline) {
            return self.end_run(state, k, RunOutcome::Lost);
        }
        state.runs[k].stage = Stage::Sent;
    }

    /// Notes the end of a run; who asked for one that did not take place is told
    /// so at once, whoever else waits for it only that it ended.
    pub(super) fn end_run(&self, state: &mut State, k: usize, ended: RunOutcome<u8>) {
        let run = state.runs.remove(k);
        let router = &mut state.routers[run.router];
        if !router.up || router.incarnation != run.incarnation {
            return;
        }
        let none = ended == RunOutcome::NotRun;
        router.ledger.finish(OP.scope, ended);
        if none && matches!(state.sends[run.send], Resend::At { .. }) {
            let age = state.now.saturating_sub(run.since);
            let known = self.issued || stays_owner(age, GOOD) || !self.has(Guard::RefusalAge);
            self.tell(state, run.send, if known { Told::NotRun } else { Told::Maybe });
        }
    }

    pub(super) fn crash(&self, state: &mut State, r: usize) {
        let before = state.routers[r].incarnation;
        let incarnation = if self.has(Guard::Incarnation) { before + 1 } else { before };
        state.routers[r] = Router { up: false, complete: false, incarnation, ..fresh() };
        state.crashes += 1;
        state.runs.retain(|it| it.router != r || it.stage != Stage::Admitted);
        for i in 0..state.sends.len() {
            if matches!(state.sends[i], Resend::At { router, .. } if router == r) {
                state.sends[i] = Resend::Done(Told::Maybe);
            }
        }
    }

    /// The claims of a router after it forgot what is too old, if that is any.
    pub(super) fn expired(state: &State, r: usize) -> Option<ClaimIndex> {
        let until = state.now.checked_sub(2 * GOOD)?;
        let mut index = state.routers[r].index.clone();
        index.expire(until);
        (index != state.routers[r].index).then_some(index)
    }

    /// Applies an action that is possible.
    pub(super) fn apply(&self, state: &mut State, action: Action) {
        match action {
            Action::Send(i, r) => {
                state.sends[i] = Resend::At { router: r, forwarded: false, step: Step::Arrived };
            }
            Action::Handle(i) => self.handle(state, i),
            Action::GiveUp(i) => state.sends[i] = Resend::Done(Told::Maybe),
            Action::NoClaim(i) => {
                if let Resend::At { router, .. } = state.sends[i] {
                    self.no_claim(state, i, router);
                }
            }
            Action::Land(k) => {
                let claim = state.appends.remove(k);
                state.log.push(claim);
            }
            Action::DropAppend(k) => {
                state.appends.remove(k);
            }
            Action::Tail(r) => self.tail(state, r),
            Action::Start(k) => self.start_run(state, k),
            Action::Refuse(k) => {
                state.refusals += 1;
                self.end_run(state, k, RunOutcome::NotRun);
            }
            Action::Serve(k) => {
                state.ran_at.push(state.now);
                state.runs[k].stage = Stage::Ran(state.ran_at.len() as u8);
            }
            Action::Reply(k) => {
                if let Stage::Ran(n) = state.runs[k].stage {
                    self.end_run(state, k, RunOutcome::Answered(Some((n, 1))));
                }
            }
            Action::LoseReply(k) => {
                state.losses += 1;
                let ended =
                    if self.has(Guard::LostKept) { RunOutcome::Lost } else { RunOutcome::NotRun };
                self.end_run(state, k, ended);
            }
            Action::Crash(r) => self.crash(state, r),
            Action::Restart(r) => state.routers[r].up = true,
            Action::Pause(r) => {
                state.pauses += 1;
                state.routers[r].paused = true;
            }
            Action::Wake(r) => state.routers[r].paused = false,
            Action::Expire(r) => {
                if let Some(index) = Bounds::expired(state, r) {
                    state.routers[r].index = index;
                }
            }
            Action::Tick => state.now += 1,
        }
    }

    /// All actions that are possible.
    pub(super) fn actions(&self, state: &State) -> Vec<Action> {
        let mut actions = Vec::new();
        let works = |r: usize| state.routers[r].up && !state.routers[r].paused;
        for (i, send) in state.sends.iter().enumerate() {
            match *send {
                // Sends are alike, so they go out in order.
                Resend::Unsent if i == 0 || state.sends[i - 1] != Resend::Unsent => {
                    let up = (0..2).filter(|&r| state.routers[r].up);
                    actions.extend(up.map(|r| Action::Send(i, r)));
                }
                Resend::At { router, step, .. } => {
                    if self.quits {
                        actions.push(Action::GiveUp(i));
                    }
                    if works(router) {
                        actions.push(Action::Handle(i));
                    }
                    if works(router) && step == Step::Claiming {
                        actions.push(Action::NoClaim(i));
                    }
                }
                Resend::Unsent | Resend::Done(_) => {}
            }
        }
        for k in 0..state.appends.len() {
            actions.push(Action::Land(k));
            if self.quits {
                actions.push(Action::DropAppend(k));
            }
        }
        for (k, run) in state.runs.iter().enumerate() {
            match run.stage {
                Stage::Admitted if works(run.router) => {
                    actions.push(Action::Start(k));
                    if state.refusals < self.refusals {
                        actions.push(Action::Refuse(k));
                    }
                }
                Stage::Admitted => {}
                Stage::Sent => actions.push(Action::Serve(k)),
                Stage::Ran(_) => {
                    if works(run.router) {
                        actions.push(Action::Reply(k));
                    }
                    if state.losses < self.losses {
                        actions.push(Action::LoseReply(k));
                    }
                }
            }
        }
        for (r, router) in state.routers.iter().enumerate() {
            if works(r) && (router.read < state.log.len() || !router.complete) {
                actions.push(Action::Tail(r));
            }
            if router.up && state.crashes < self.crashes {
                actions.push(Action::Crash(r));
            }
            if !router.up {
                actions.push(Action::Restart(r));
            }
            if works(r) && state.pauses < self.pauses {
                actions.push(Action::Pause(r));
            }
            if works(r) && Bounds::expired(state, r).is_some() {
                actions.push(Action::Expire(r));
            }
            if router.paused {
                actions.push(Action::Wake(r));
            }
        }
        // A call is served within its deadline, which is far shorter than a tick.
        let under_way = state.runs.iter().any(|it| it.stage == Stage::Sent);
        if state.now < self.ticks && !under_way {
            actions.push(Action::Tick);
        }
        actions
    }
}
