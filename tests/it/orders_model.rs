//! Exhaustive search over two routers that each unload an engine and count on
//! the other: pauses before every send, lost claims, forgotten claims, reports
//! that lag, in every order. Engines check fencing numbers.

use filberttiller::check::{Model, search};
use filberttiller::decide::orders::{
    Claim, ClaimKind, ClaimQueue, ClaimState, HolderState, holder_state,
};
use rstest::rstest;

const KEY: u64 = 7;
/// Claims that each router makes at most.
const CLAIMS: usize = 2;
const LIMIT: usize = 3_000_000;

/// What keeps the last copy.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Guard {
    /// Engines refuse old numbers.
    Fencing,
    /// The keeper must have seen the number of the unload.
    HolderFencing,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Engine {
    holds: bool,
    seen: u64,
    /// What it last reported.
    told: (bool, u64),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    Idle,
    /// Has claimed under this id.
    Claimed(u64),
    /// Has judged its keeper good and is about to send under this number.
    Sending(u64),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Router {
    book: ClaimQueue,
    read: usize,
    made: usize,
    stage: Stage,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    engines: [Engine; 2],
    /// Router `i` unloads engine `i` and counts on the other.
    routers: [Router; 2],
    log: Vec<Claim>,
    /// Loads towards keepers still on their way: engine and number.
    flying: Vec<(usize, u64)>,
}

#[derive(Debug, Clone)]
enum Action {
    Claim,
    Read,
    Forget,
    Judge,
    Send,
    Arrive,
    Report,
    Reload,
}

struct Orders {
    missing: Option<Guard>,
}

impl Orders {
    fn without(&self, guard: Guard) -> bool {
        self.missing == Some(guard)
    }

    /// Whether the engine takes an order under `number`.
    fn takes(&self, engine: &mut Engine, number: u64) -> bool {
        let taken = self.without(Guard::Fencing) || number >= engine.seen;
        engine.seen = engine.seen.max(number);
        taken
    }

    fn router(&self, state: &State, i: usize, steps: &mut Vec<(Action, State)>) {
        let own = &state.routers[i];
        let mut step = |action, change: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            steps.push((action, next));
        };
        if own.stage == Stage::Idle && own.made < CLAIMS {
            let id = (i * CLAIMS + own.made) as u64;
            let claim = Claim { id, engine: i as u64, kind: ClaimKind::Unload, key: KEY };
            step(Action::Claim, &|it| {
                it.log.push(claim);
                it.routers[i].made += 1;
                it.routers[i].stage = Stage::Claimed(id);
            });
        }
        if own.read < state.log.len() {
            step(Action::Read, &|it| {
                let at = it.routers[i].read;
                it.routers[i].book.insert(at as u64, it.log[at], 0);
                it.routers[i].read += 1;
            });
        }
        // All others' claims may lapse at any time while this router sleeps.
        if let Stage::Claimed(id) = own.stage
            && own.book.len() > 1
        {
            step(Action::Forget, &|it| {
                let others = it.log.iter().map(|it| it.id).filter(|it| *it != id);
                others.for_each(|other| it.routers[i].book.close(other));
            });
        }
        if let Stage::Claimed(id) = own.stage
            && own.book.state(id, 1) == ClaimState::Ready
            && let Some(offset) = own.book.offset(id)
        {
            let fencing = offset + 1;
            let (holds, seen) = state.engines[1 - i].told;
            let seen = if self.without(Guard::HolderFencing) { fencing } else { seen };
            step(Action::Judge, &|it| match holder_state(holds, seen, fencing) {
                HolderState::Holds => it.routers[i].stage = Stage::Sending(fencing),
                HolderState::Unfenced if !it.flying.contains(&(1 - i, fencing)) => {
                    it.flying.push((1 - i, fencing));
                }
                HolderState::Unfenced => {}
                HolderState::Lacks => it.routers[i].stage = Stage::Idle,
            });
        }
        if let Stage::Sending(fencing) = own.stage {
            step(Action::Send, &|it| {
                if self.takes(&mut it.engines[i], fencing) {
                    it.engines[i].holds = false;
                }
                it.routers[i].stage = Stage::Idle;
            });
        }
    }
}

impl Model for Orders {
    type State = State;
    type Action = Action;

    fn start(&self) -> State {
        let engine = Engine { holds: true, seen: 0, told: (true, 0) };
        let router = Router { book: ClaimQueue::default(), read: 0, made: 0, stage: Stage::Idle };
        State {
            engines: [engine.clone(), engine],
            routers: [router.clone(), router],
            log: Vec::new(),
            flying: Vec::new(),
        }
    }

    fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let mut steps = Vec::new();
        for i in 0..2 {
            self.router(state, i, &mut steps);
            let engine = &state.engines[i];
            if engine.told != (engine.holds, engine.seen) {
                let mut next = state.clone();
                next.engines[i].told = (engine.holds, engine.seen);
                steps.push((Action::Report, next));
            }
            // A later ticket has the item loaded again.
            if !engine.holds {
                let mut next = state.clone();
                next.engines[i].holds = true;
                steps.push((Action::Reload, next));
            }
        }
        for (at, (engine, number)) in state.flying.iter().enumerate() {
            let mut next = state.clone();
            next.flying.remove(at);
            if self.takes(&mut next.engines[*engine], *number) {
                next.engines[*engine].holds = true;
            }
            steps.push((Action::Arrive, next));
        }
        steps
    }

    fn fault(&self, state: &State) -> Option<&'static str> {
        let lost = state.engines.iter().all(|it| !it.holds);
        lost.then_some("the last copy was unloaded")
    }
}

#[test]
fn last_copy_kept_in_every_order() {
    let report = search(&Orders { missing: None }, LIMIT);
    assert!(report.fault.is_none(), "{:?}", report.fault);
    assert!(report.states > 1_000, "{} states", report.states);
}

#[rstest]
#[case::fencing(Guard::Fencing)]
#[case::holder_fencing(Guard::HolderFencing)]
fn last_copy_lost_without_guard(#[case] guard: Guard) {
    let report = search(&Orders { missing: Some(guard) }, LIMIT);
    assert!(report.fault.is_some(), "{guard:?} makes no difference in {} states", report.states);
}
