//! Breadth-first search, so that the first fault found has a shortest path.

use std::collections::{HashMap, VecDeque};
use std::fmt::Debug;
use std::hash::Hash;

/// Something whose states can be searched.
pub trait Model {
    /// A state.
    type State: Clone + Eq + Hash + Debug;
    /// What leads from one state to the next.
    type Action: Clone + Debug;

    /// The first state.
    fn start(&self) -> Self::State;

    /// All actions that are possible in a state, with the states they lead to.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Action, Self::State)>;

    /// What is wrong with a state.
    fn fault(&self, state: &Self::State) -> Option<&'static str>;
}

/// A state with something wrong.
#[derive(Debug, Clone)]
pub struct Fault<A> {
    /// What is wrong.
    pub what: &'static str,
    /// A shortest path to it.
    pub path: Vec<A>,
}

/// What a search found.
#[derive(Debug, Clone)]
pub struct Report<A> {
    /// Different states seen.
    pub states: usize,
    /// Steps tried.
    pub steps: usize,
    /// Longest path without a detour.
    pub depth: usize,
    /// The first fault; `None` when every reachable state is good.
    pub fault: Option<Fault<A>>,
}

/// Searches all reachable states, up to the first fault.
///
/// # Panics
/// When there are more than `limit` states: a search cut short proves nothing.
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

fn path<A: Clone>(origins: &[Option<(usize, A)>], mut at: usize) -> Vec<A> {
    let mut path = Vec::new();
    while let Some((before, action)) = &origins[at] {
        path.push(action.clone());
        at = *before;
    }
    path.reverse();
    path
}
