//! Exhaustive search over the decisions on once-only calls: two routers that
//! resends reach, a crash, a pause, a lost reply and a refused run, in every order.
//! The same search must find a fault when any one guard is left out.

use filberttiller::check::{Model, Report, search};
use filberttiller::decide::once::{
    Admit, Claim, ClaimIndex, Ended, Holder, Ledger, LedgerLimits, Op, Owner, Route, Scope, route,
};
use rstest::rstest;

/// Ticks for which a key is good.
const GOOD: u64 = 1;
/// Most states of one search.
const LIMIT: usize = 4_000_000;
const OP: Op = Op { scope: Scope([7; 16]), body: 1 };
const LIMITS: LedgerLimits = LedgerLimits { keys: 4, bytes: 64 };

/// What keeps a call from running twice or from being told wrongly.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Guard {
    /// Only the owner runs a call.
    OwnerOnly,
    /// A restarted router is another owner.
    Incarnation,
    /// The first claim in the log wins.
    FirstClaim,
    /// A claim counts only when it was read back.
    ReadBack,
    /// A lost reply is never taken for a run that did not take place.
    LostKept,
    /// A call whose owner is gone may have run.
    GoneMaybe,
    /// Without the log, peers are asked before `not_run` is told.
    PeersAsked,
    /// A router that has not read all claims since its start rules nothing out.
    Complete,
    /// The owner counts a claim's age from before its append.
    ClaimAge,
    /// The deadline is looked at directly before the call is sent.
    Deadline,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Router {
    up: bool,
    paused: bool,
    incarnation: u64,
    ledger: Ledger<u8>,
    index: ClaimIndex,
    read: usize,
    /// Whether the log was read to its end since the start.
    complete: bool,
    made: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Told {
    NotRun,
    Maybe,
    Ran(u8),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Resend {
    Unsent,
    At { router: usize, forwarded: bool, step: Step },
    Done(Told),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Step {
    Arrived,
    Claiming,
    Waiting,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    Admitted,
    Sent,
    Ran(u8),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Run {
    router: usize,
    incarnation: u64,
    /// The send that it belongs to.
    send: usize,
    /// Deadline of the call.
    until: u64,
    stage: Stage,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    routers: [Router; 2],
    sends: Vec<Resend>,
    log: Vec<Claim>,
    /// Claims on their way to the log; they may land after their sender crashed.
    appends: Vec<Claim>,
    runs: Vec<Run>,
    /// When the service ran the call.
    ran_at: Vec<u64>,
    false_not_run: bool,
    crashes: u8,
    pauses: u8,
    losses: u8,
    refusals: u8,
}

#[derive(Debug, Clone, Copy)]
#[allow(dead_code)]
enum Action {
    Send(usize, usize),
    Handle(usize),
    GiveUp(usize),
    NoClaim(usize),
    Land(usize),
    DropAppend(usize),
    Tail(usize),
    Start(usize),
    Refuse(usize),
    Serve(usize),
    Reply(usize),
    LoseReply(usize),
    Crash(usize),
    Restart(usize),
    Pause(usize),
    Wake(usize),
    Expire(usize),
    Tick,
}

/// Bounds of one search.
#[derive(Debug, Clone, Copy)]
struct Bounds {
    issued: bool,
    sends: usize,
    crashes: u8,
    pauses: u8,
    losses: u8,
    refusals: u8,
    ticks: u64,
    /// Whether callers give up and appends get lost.
    quits: bool,
    without: Option<Guard>,
}

impl Bounds {
    fn has(&self, guard: Guard) -> bool {
        self.without != Some(guard)
    }

    fn me(state: &State, r: usize) -> Owner {
        Owner { router: r as u64, incarnation: state.routers[r].incarnation }
    }

    fn holder(&self, state: &State, r: usize) -> (Holder, u64) {
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

    /// Lets the router at which a send is work on it.
    fn handle(&self, state: &mut State, i: usize) {
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
                    Admit::Run => {
                        let until = now;
                        let run = Run {
                            router: r,
                            send: i,
                            incarnation: me.incarnation,
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
    fn look(&self, state: &mut State, i: usize, r: usize) {
        match state.routers[r].ledger.peek(&OP) {
            Some(Admit::Wait) => {}
            Some(admit) => self.tell_admit(state, i, r, false, &admit),
            None => self.tell(state, i, Told::Maybe),
        }
    }

    fn tell_admit(
        &self,
        state: &mut State,
        i: usize,
        r: usize,
        forwarded: bool,
        admit: &Admit<u8>,
    ) {
        let told = match admit {
            Admit::Answer(n) => Told::Ran(*n),
            Admit::Expired | Admit::Full => Told::NotRun,
            Admit::Run | Admit::Wait => {
                state.sends[i] = Resend::At { router: r, forwarded, step: Step::Waiting };
                return;
            }
            Admit::Ran | Admit::Lost | Admit::OtherBody | Admit::Forgotten => Told::Maybe,
        };
        self.tell(state, i, told);
    }

    fn tell_gone(&self, state: &mut State, i: usize) {
        let told = if self.has(Guard::GoneMaybe) { Told::Maybe } else { Told::NotRun };
        self.tell(state, i, told);
    }

    fn tell(&self, state: &mut State, i: usize, told: Told) {
        let recent = state.ran_at.iter().any(|at| self.issued || state.now - at < GOOD);
        let under_way = state.runs.iter().any(|it| it.stage == Stage::Sent);
        state.false_not_run |= told == Told::NotRun && (recent || under_way);
        state.sends[i] = Resend::Done(told);
    }

    /// A claim was not settled in time.
    fn no_claim(&self, state: &mut State, i: usize, r: usize) {
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

    /// Reads the next record of the log, or finds that there is none.
    fn tail(&self, state: &mut State, r: usize) {
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

    fn start_run(&self, state: &mut State, k: usize) {
        if state.runs[k].until < state.now && self.has(Guard::Deadline) {
            return self.end_run(state, k, Ended::Lost);
        }
        state.runs[k].stage = Stage::Sent;
    }

    /// Notes the end of a run; who asked for one that did not take place is told
    /// so at once, whoever else waits for it only that it ended.
    fn end_run(&self, state: &mut State, k: usize, ended: Ended<u8>) {
        let run = state.runs.remove(k);
        let router = &mut state.routers[run.router];
        if !router.up || router.incarnation != run.incarnation {
            return;
        }
        let none = ended == Ended::NotRun;
        router.ledger.finish(OP.scope, ended);
        if none && matches!(state.sends[run.send], Resend::At { .. }) {
            self.tell(state, run.send, Told::NotRun);
        }
    }

    fn crash(&self, state: &mut State, r: usize) {
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
    fn expired(state: &State, r: usize) -> Option<ClaimIndex> {
        let until = state.now.checked_sub(2 * GOOD)?;
        let mut index = state.routers[r].index.clone();
        index.expire(until);
        (index != state.routers[r].index).then_some(index)
    }

    /// Applies an action that is possible.
    fn apply(&self, state: &mut State, action: Action) {
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
                self.end_run(state, k, Ended::NotRun);
            }
            Action::Serve(k) => {
                state.ran_at.push(state.now);
                state.runs[k].stage = Stage::Ran(state.ran_at.len() as u8);
            }
            Action::Reply(k) => {
                if let Stage::Ran(n) = state.runs[k].stage {
                    self.end_run(state, k, Ended::Answered(Some((n, 1))));
                }
            }
            Action::LoseReply(k) => {
                state.losses += 1;
                let ended = if self.has(Guard::LostKept) { Ended::Lost } else { Ended::NotRun };
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
    fn actions(&self, state: &State) -> Vec<Action> {
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

fn fresh() -> Router {
    Router {
        up: true,
        paused: false,
        incarnation: 0,
        ledger: Ledger::new(LIMITS),
        index: ClaimIndex::default(),
        read: 0,
        complete: true,
        made: None,
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

fn report(bounds: Bounds) -> Report<Action> {
    let report = search(&bounds, LIMIT);
    let Report { states, steps, depth, .. } = report;
    println!("{bounds:?}: {states} states, {steps} steps, depth {depth}");
    report
}

/// Two resends, a crash, a pause, a lost reply and a refused run.
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

/// Time that passes between any two steps, until claims are forgotten. A router that
/// takes no step is as good as paused.
const AGEING: Bounds =
    Bounds { crashes: 0, pauses: 0, losses: 0, refusals: 0, ticks: 2, quits: false, ..ALL };

#[rstest]
#[case::own_key(ALL)]
#[case::issued_key(Bounds { issued: true, sends: 3, ..ALL })]
#[case::own_key_ageing(AGEING)]
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
#[case::lost_kept(Guard::LostKept, ALL)]
#[case::gone_maybe(Guard::GoneMaybe, ALL)]
#[case::peers_asked(Guard::PeersAsked, ALL)]
#[case::complete(Guard::Complete, ALL)]
#[case::claim_age(Guard::ClaimAge, AGEING)]
#[case::deadline(Guard::Deadline, AGEING)]
fn missing_guard_is_found(#[case] guard: Guard, #[case] bounds: Bounds) {
    let report = report(Bounds { without: Some(guard), ..bounds });
    let fault = report.fault.expect("the search found nothing wrong");
    println!("without {guard:?}: {} after {:?}", fault.what, fault.path);
}
