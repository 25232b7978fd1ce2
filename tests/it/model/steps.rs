//! The possible actions in a state, and their effects.

use filberttiller::decide::once::{ClaimIndex, RunOutcome, stays_owner};

use super::bounds::Bounds;
use super::state::{
    Action, CallVerdict, Guard, OP, Router, SendState, Stage, State, Step, VALID_TICKS, new_router,
};

impl Bounds {
    /// Lets router `r` read the next record of the log, or find that there is none.
    pub(super) fn read_log(&self, state: &mut State, r: usize) {
        let me = Bounds::owner(state, r);
        let now = state.now;
        let router = &mut state.routers[r];
        if let Some(claim) = state.log.get(router.read) {
            let own = claim.owner == me;
            let claimed_at = router.claimed_at.filter(|_| own && self.has(Guard::ClaimAge));
            if !self.has(Guard::FirstClaim) {
                router.index = ClaimIndex::default();
            }
            router.index.apply(claim, claimed_at.unwrap_or(now), now);
            router.read += 1;
            if own {
                router.claimed_at = None;
            }
        }
        router.complete |= router.read == state.log.len();
    }

    /// Sends the call of run `k` to the service, unless its deadline has passed.
    pub(super) fn start_run(&self, state: &mut State, k: usize) {
        if state.runs[k].until < state.now && self.has(Guard::Deadline) {
            return self.end_run(state, k, RunOutcome::Lost);
        }
        state.runs[k].stage = Stage::Sent;
    }

    /// Records the end of a run. If the run did not take place, the send that it belongs to
    /// is answered at once; other sends that wait for it only see that it ended.
    pub(super) fn end_run(&self, state: &mut State, k: usize, outcome: RunOutcome<u8>) {
        let run = state.runs.remove(k);
        let router = &mut state.routers[run.router];
        if !router.up || router.incarnation != run.incarnation {
            return;
        }
        let not_run = outcome == RunOutcome::NotRun;
        router.ledger.finish(OP.scope, outcome);
        if not_run && matches!(state.sends[run.send], SendState::At { .. }) {
            let age = state.now.saturating_sub(run.since);
            let certain =
                self.issued || stays_owner(age, VALID_TICKS) || !self.has(Guard::RefusalAge);
            let verdict = if certain { CallVerdict::NotRun } else { CallVerdict::MayHaveRun };
            self.answer(state, run.send, verdict);
        }
    }

    /// Crashes router `r`: its runs that were not sent to the service are dropped, and the sends
    /// that it handles end as `MayHaveRun`.
    pub(super) fn crash(&self, state: &mut State, r: usize) {
        let before = state.routers[r].incarnation;
        let incarnation = if self.has(Guard::Incarnation) { before + 1 } else { before };
        state.routers[r] = Router { up: false, complete: false, incarnation, ..new_router() };
        state.crashes += 1;
        state.runs.retain(|it| it.router != r || it.stage != Stage::Admitted);
        for i in 0..state.sends.len() {
            if matches!(state.sends[i], SendState::At { router, .. } if router == r) {
                state.sends[i] = SendState::Done(CallVerdict::MayHaveRun);
            }
        }
    }

    /// Returns the claims of router `r` without expired ones, if any have expired.
    pub(super) fn expired(state: &State, r: usize) -> Option<ClaimIndex> {
        let until = state.now.checked_sub(2 * VALID_TICKS)?;
        let mut index = state.routers[r].index.clone();
        index.expire(until);
        (index != state.routers[r].index).then_some(index)
    }

    /// Applies a possible action.
    pub(super) fn apply(&self, state: &mut State, action: Action) {
        match action {
            Action::Send(i, r) => {
                state.sends[i] = SendState::At { router: r, forwarded: false, step: Step::Arrived };
            }
            Action::Handle(i) => self.handle(state, i),
            Action::GiveUp(i) => state.sends[i] = SendState::Done(CallVerdict::MayHaveRun),
            Action::ClaimTimeout(i) => {
                if let SendState::At { router, .. } = state.sends[i] {
                    self.claim_timed_out(state, i, router);
                }
            }
            Action::Append(k) => {
                let claim = state.appends.remove(k);
                state.log.push(claim);
            }
            Action::DropAppend(k) => {
                state.appends.remove(k);
            }
            Action::ReadLog(r) => self.read_log(state, r),
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
                let outcome =
                    if self.has(Guard::LostReply) { RunOutcome::Lost } else { RunOutcome::NotRun };
                self.end_run(state, k, outcome);
            }
            Action::Crash(r) => self.crash(state, r),
            Action::Restart(r) => state.routers[r].up = true,
            Action::Pause(r) => {
                state.pauses += 1;
                state.routers[r].paused = true;
            }
            Action::Resume(r) => state.routers[r].paused = false,
            Action::Expire(r) => {
                if let Some(index) = Bounds::expired(state, r) {
                    state.routers[r].index = index;
                }
            }
            Action::Tick => state.now += 1,
        }
    }

    /// Returns all possible actions.
    pub(super) fn actions(&self, state: &State) -> Vec<Action> {
        let mut actions = Vec::new();
        let is_running = |r: usize| state.routers[r].up && !state.routers[r].paused;
        for (i, send) in state.sends.iter().enumerate() {
            match *send {
                // All sends are the same, so it is enough to try them in order.
                SendState::Unsent if i == 0 || state.sends[i - 1] != SendState::Unsent => {
                    let up = (0..2).filter(|&r| state.routers[r].up);
                    actions.extend(up.map(|r| Action::Send(i, r)));
                }
                SendState::At { router, step, .. } => {
                    if self.quits {
                        actions.push(Action::GiveUp(i));
                    }
                    if is_running(router) {
                        actions.push(Action::Handle(i));
                    }
                    if is_running(router) && step == Step::Claiming {
                        actions.push(Action::ClaimTimeout(i));
                    }
                }
                SendState::Unsent | SendState::Done(_) => {}
            }
        }
        for k in 0..state.appends.len() {
            actions.push(Action::Append(k));
            if self.quits {
                actions.push(Action::DropAppend(k));
            }
        }
        for (k, run) in state.runs.iter().enumerate() {
            match run.stage {
                Stage::Admitted if is_running(run.router) => {
                    actions.push(Action::Start(k));
                    if state.refusals < self.refusals {
                        actions.push(Action::Refuse(k));
                    }
                }
                Stage::Admitted => {}
                Stage::Sent => actions.push(Action::Serve(k)),
                Stage::Ran(_) => {
                    if is_running(run.router) {
                        actions.push(Action::Reply(k));
                    }
                    if state.losses < self.losses {
                        actions.push(Action::LoseReply(k));
                    }
                }
            }
        }
        for (r, router) in state.routers.iter().enumerate() {
            if is_running(r) && (router.read < state.log.len() || !router.complete) {
                actions.push(Action::ReadLog(r));
            }
            if router.up && state.crashes < self.crashes {
                actions.push(Action::Crash(r));
            }
            if !router.up {
                actions.push(Action::Restart(r));
            }
            if is_running(r) && state.pauses < self.pauses {
                actions.push(Action::Pause(r));
            }
            if is_running(r) && Bounds::expired(state, r).is_some() {
                actions.push(Action::Expire(r));
            }
            if router.paused {
                actions.push(Action::Resume(r));
            }
        }
        // A call is served within its deadline, which is far shorter than a tick.
        let in_flight = state.runs.iter().any(|it| it.stage == Stage::Sent);
        if state.now < self.ticks && !in_flight {
            actions.push(Action::Tick);
        }
        actions
    }
}
