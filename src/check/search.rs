//! Breadth-first search, so that the path to the first fault found is a shortest one.

use std::collections::{HashMap, VecDeque};
use std::fmt::Debug;
use std::hash::Hash;

/// A state machine whose states can be searched.
pub trait Model {
    /// A state.
    type State: Clone + Eq + Hash + Debug;
    /// A transition from one state to another.
    type Action: Clone + Debug;

    /// The initial state.
    fn start(&self) -> Self::State;

    /// All actions that are possible in `state`, each with the resulting state.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Action, Self::State)>;

    /// The invariant that `state` violates, if any.
    fn fault(&self, state: &Self::State) -> Option<&'static str>;
}

/// A reachable state that violates an invariant.
#[derive(Debug, Clone)]
pub struct Fault<A> {
    /// The violated invariant.
    pub what: &'static str,
    /// The actions of a shortest path to the state.
    pub path: Vec<A>,
}

/// Result of a search.
#[derive(Debug, Clone)]
pub struct Report<A> {
    /// Number of distinct states found.
    pub states: usize,
    /// Number of transitions followed.
    pub steps: usize,
    /// Greatest distance of a state from the initial one, in transitions.
    pub depth: usize,
    /// The first fault found; `None` when no reachable state has one.
    pub fault: Option<Fault<A>>,
}

/// Searches all reachable states, up to the first fault.
///
/// # Panics
/// Panics when there are more than `limit` states, as an incomplete search proves nothing.
pub fn search<M: Model>(model: &M, limit: usize) -> Report<M::Action> {
    let start = model.start();
    let mut states = vec![start.clone()];
    let mut origins: Vec<Option<(usize, M::Action)>> = vec![None];
    let mut known = HashMap::from([(start, 0)]);
    let mut queue = VecDeque::from([(0, 0)]);
    let mut report = Report { states: 1, steps: 0, depth: 0, fault: None };
    while let Some((at, depth)) = queue.pop_front() {
        report.depth = report.depth.max(depth);
        if let Some(what) = model.fault(&states[at]) {
            report.fault = Some(Fault { what, path: path(&origins, at) });
            break;
        }
        for (action, next) in model.steps(&states[at]) {
            report.steps += 1;
            if known.contains_key(&next) {
                continue;
            }
            let index = states.len();
            assert!(index < limit, "more than {limit} states");
            known.insert(next.clone(), index);
            states.push(next);
            origins.push(Some((at, action)));
            queue.push_back((index, depth + 1));
        }
    }
    report.states = states.len();
    report
}

/// The actions that lead to state `at`.
fn path<A: Clone>(origins: &[Option<(usize, A)>], mut at: usize) -> Vec<A> {
    let mut path = Vec::new();
    while let Some((before, action)) = &origins[at] {
        path.push(action.clone());
        at = *before;
    }
    path.reverse();
    path
}
