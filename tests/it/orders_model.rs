//! Exhaustive search over two routers that each unload an item from one engine and rely on
//! the other engine's copy: pauses before every send, lost claims, expired claims and late
//! reports, in every order. Engines check fencing numbers.

use filberttiller::check::{Model, search};
use filberttiller::decide::orders::{
    Claim, ClaimKind, ClaimQueue, ClaimState, HolderState, holder_state,
};
use rstest::rstest;

const KEY: u64 = 7;
/// Maximum number of claims of each router.
const MAX_CLAIMS: usize = 2;
/// Maximum number of states of a search.
const MAX_STATES: usize = 3_000_000;

/// A rule that protects the last copy.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Guard {
    /// Engines refuse old fencing numbers.
    Fencing,
    /// The required holder must have seen the fencing number of the unload.
    HolderFencing,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Engine {
    holds: bool,
    seen: u64,
    /// `holds` and `seen` as last reported.
    reported: (bool, u64),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    Idle,
    /// Has made the claim with this id.
    Claimed(u64),
    /// Has found its required holder ready, and is about to send under this number.
    Sending(u64),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Router {
    claims: ClaimQueue,
    /// Records of the log read so far.
    read: usize,
    /// Claims made so far.
    made: usize,
    stage: Stage,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    engines: [Engine; 2],
    /// Router `i` unloads from engine `i` and relies on the other engine.
    routers: [Router; 2],
    log: Vec<Claim>,
    /// Loads in transit to required holders: engine and fencing number.
    in_transit: Vec<(usize, u64)>,
}

#[derive(Debug, Clone)]
enum Action {
    Claim,
    Read,
    Expire,
    CheckHolder,
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

    /// Whether the engine accepts an order under `number`; records the number as seen.
    fn accepts(&self, engine: &mut Engine, number: u64) -> bool {
        let accepted = self.without(Guard::Fencing) || number >= engine.seen;
        engine.seen = engine.seen.max(number);
        accepted
    }

    /// Adds the possible steps of router `i`.
    fn router_steps(&self, state: &State, i: usize, steps: &mut Vec<(Action, State)>) {
        let own = &state.routers[i];
        let mut step = |action, change: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            steps.push((action, next));
        };
        if own.stage == Stage::Idle && own.made < MAX_CLAIMS {
            let id = (i * MAX_CLAIMS + own.made) as u64;
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
                it.routers[i].claims.insert(at as u64, it.log[at], 0);
                it.routers[i].read += 1;
            });
        }
        // All claims of others may expire at any time while this router is paused.
        if let Stage::Claimed(id) = own.stage
            && own.claims.len() > 1
        {
            step(Action::Expire, &|it| {
                let others = it.log.iter().map(|it| it.id).filter(|it| *it != id);
                others.for_each(|other| it.routers[i].claims.close(other));
            });
        }
        if let Stage::Claimed(id) = own.stage
            && own.claims.state(id, 1) == ClaimState::Ready
            && let Some(offset) = own.claims.offset(id)
        {
            let fencing = offset + 1;
            let (holds, seen) = state.engines[1 - i].reported;
            let seen = if self.without(Guard::HolderFencing) { fencing } else { seen };
            step(Action::CheckHolder, &|it| match holder_state(holds, seen, fencing) {
                HolderState::Holds => it.routers[i].stage = Stage::Sending(fencing),
                HolderState::Unfenced if !it.in_transit.contains(&(1 - i, fencing)) => {
                    it.in_transit.push((1 - i, fencing));
                }
                HolderState::Unfenced => {}
                HolderState::Lacks => it.routers[i].stage = Stage::Idle,
            });
        }
        if let Stage::Sending(fencing) = own.stage {
            step(Action::Send, &|it| {
                if self.accepts(&mut it.engines[i], fencing) {
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
        let engine = Engine { holds: true, seen: 0, reported: (true, 0) };
        let router = Router { claims: ClaimQueue::default(), read: 0, made: 0, stage: Stage::Idle };
        State {
            engines: [engine.clone(), engine],
            routers: [router.clone(), router],
            log: Vec::new(),
            in_transit: Vec::new(),
        }
    }

    fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let mut steps = Vec::new();
        for i in 0..2 {
            self.router_steps(state, i, &mut steps);
            let engine = &state.engines[i];
            if engine.reported != (engine.holds, engine.seen) {
                let mut next = state.clone();
                next.engines[i].reported = (engine.holds, engine.seen);
                steps.push((Action::Report, next));
            }
            // A later ticket makes the engine load the item again.
            if !engine.holds {
                let mut next = state.clone();
                next.engines[i].holds = true;
                steps.push((Action::Reload, next));
            }
        }
        for (at, (engine, number)) in state.in_transit.iter().enumerate() {
            let mut next = state.clone();
            next.in_transit.remove(at);
            if self.accepts(&mut next.engines[*engine], *number) {
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
    let report = search(&Orders { missing: None }, MAX_STATES);
    assert!(report.fault.is_none(), "{:?}", report.fault);
    assert!(report.states > 1_000, "{} states", report.states);
}

#[rstest]
#[case::fencing(Guard::Fencing)]
#[case::holder_fencing(Guard::HolderFencing)]
fn last_copy_lost_without_guard(#[case] guard: Guard) {
    let report = search(&Orders { missing: Some(guard) }, MAX_STATES);
    assert!(report.fault.is_some(), "{guard:?} makes no difference in {} states", report.states);
}
