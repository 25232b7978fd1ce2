//! The placement policies that can be measured.

use std::time::Duration;

use crate::decide::{self, PlaceQuery, Placement};
use crate::measure::{EngineModel, RouterModel};

/// What a policy bases its decision on.
pub struct PolicyInput<'a> {
    /// The router that decides.
    pub router: &'a mut RouterModel,
    /// The true state of the engines; only the all-knowing policy uses it.
    pub truth: &'a [EngineModel],
    /// Time since the start of the replay.
    pub now: Duration,
    /// The request.
    pub query: PlaceQuery<'a>,
    /// Tokens of its prompt.
    pub prompt: u64,
}

/// A placement policy.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Its name.
    pub name: &'static str,
    /// Whether routers need load reports.
    pub needs_load: bool,
    /// Whether it uses the true state of the engines.
    pub all_knowing: bool,
    /// Chooses an engine, as an index into the router's list or, for the all-knowing
    /// policy, into `truth`.
    pub choose: fn(&mut PolicyInput<'_>) -> Option<Placement>,
}

/// All policies; the first one is the reference for the others.
pub const POLICIES: &[Policy] = &[
    Policy { name: "all-knowing", needs_load: false, all_knowing: true, choose: all_knowing },
    Policy {
        name: "round-robin",
        needs_load: false,
        all_knowing: false,
        choose: |it| {
            let choice = decide::round_robin(&it.router.engines, &it.query, it.router.last)?;
            it.router.last = choice.index;
            Some(choice)
        },
    },
    Policy {
        name: "least-loaded",
        needs_load: true,
        all_knowing: false,
        choose: |it| decide::least_loaded(&it.router.engines, &it.query),
    },
    Policy {
        name: "rendezvous",
        needs_load: false,
        all_knowing: false,
        choose: |it| decide::rendezvous(&it.router.engines, &it.query),
    },
    Policy {
        name: "v1",
        needs_load: true,
        all_knowing: false,
        choose: |it| decide::place_v1(&it.router.engines, &it.query),
    },
    Policy {
        name: "v2",
        needs_load: true,
        all_knowing: false,
        choose: |it| decide::place(&it.router.engines, &it.query),
    },
];

/// The policy called `name`.
pub fn policy(name: &str) -> Option<&'static Policy> {
    POLICIES.iter().find(|it| it.name == name)
}

/// Chooses the engine with the longest cached prefix of the chat if it stays within the
/// bound or is no more loaded afterwards than the least loaded engine; else the least
/// loaded engine. Uses true loads and caches.
fn all_knowing(input: &mut PolicyInput<'_>) -> Option<Placement> {
    let query = &input.query;
    let open: Vec<usize> = (0..input.truth.len())
        .filter(|i| input.truth[*i].is_open() && !query.attempted.contains(i))
        .collect();
    let slots: usize = open.iter().map(|&i| input.truth[i].slots).sum();
    let loads: Vec<f64> = open.iter().map(|&i| input.truth[i].load(input.now)).collect();
    let mean = loads.iter().sum::<f64>() / slots as f64;
    let relative = |at: usize| loads[at] / input.truth[open[at]].slots as f64;
    let cached = |at: usize| input.truth[open[at]].cache.cached_tokens(query.key).min(input.prompt);
    let least = (0..open.len()).min_by(|&a, &b| relative(a).total_cmp(&relative(b)))?;
    let warmest = (0..open.len()).max_by_key(|&at| cached(at)).filter(|&at| cached(at) > 0);
    let fits = |at: usize| {
        let added = (query.cost - cached(at)) as f64 / input.truth[open[at]].slots as f64;
        relative(at) <= mean || relative(at) + added <= mean * query.bound
    };
    let after = |at: usize| {
        relative(at) + (query.cost - cached(at)) as f64 / input.truth[open[at]].slots as f64
    };
    let at = warmest.filter(|&at| fits(at) || after(at) <= after(least)).unwrap_or(least);
    Some(Placement { index: open[at], spilled: warmest.is_some_and(|warmest| warmest != at) })
}
