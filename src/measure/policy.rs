//! The policies that can be measured.

use std::time::Duration;

use crate::decide::{self, PlaceQuery, Placement};
use crate::measure::{EngineModel, RouterModel};

/// What a policy may look at.
pub struct PolicyInput<'a> {
    /// The router that decides.
    pub router: &'a mut RouterModel,
    /// The engines as they truly are; for the all-knowing router alone.
    pub truth: &'a [EngineModel],
    /// Time from the start.
    pub now: Duration,
    /// The request.
    pub query: PlaceQuery<'a>,
    /// Tokens of its prompt.
    pub prompt: u64,
}

/// A way to place requests.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Its name.
    pub name: &'static str,
    /// Whether routers need load reports.
    pub needs_load: bool,
    /// Whether it knows the truth.
    pub all_knowing: bool,
    /// Chooses an engine, by index into the router's list, or into the truth.
    pub choose: fn(&mut PolicyInput<'_>) -> Option<Placement>,
}

/// All policies; the first one is the reference of the others.
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

/// The engine with the longest prefix among those that stay within the bound,
/// by true loads and caches; else the least loaded.
fn all_knowing(input: &mut PolicyInput<'_>) -> Option<Placement> {
    let query = &input.query;
    let open: Vec<usize> = (0..input.truth.len())
        .filter(|i| input.truth[*i].is_open() && !query.attempted.contains(i))
        .collect();
    let slots: usize = open.iter().map(|&i| input.truth[i].slots).sum();
    let loads: Vec<f64> = open.iter().map(|&i| input.truth[i].load(input.now)).collect();
    let mean = loads.iter().sum::<f64>() / slots as f64;
    let relative = |at: usize| loads[at] / input.truth[open[at]].slots as f64;
    let held = |at: usize| input.truth[open[at]].cache.cached_tokens(query.key).min(input.prompt);
    let least = (0..open.len()).min_by(|&a, &b| relative(a).total_cmp(&relative(b)))?;
    let home = (0..open.len()).max_by_key(|&at| held(at)).filter(|&at| held(at) > 0);
    let fits = |at: usize| {
        let added = (query.cost - held(at)) as f64 / input.truth[open[at]].slots as f64;
        relative(at) <= mean || relative(at) + added <= mean * query.bound
    };
    let after = |at: usize| {
        relative(at) + (query.cost - held(at)) as f64 / input.truth[open[at]].slots as f64
    };
    let at = home.filter(|&at| fits(at) || after(at) <= after(least)).unwrap_or(least);
    Some(Placement { index: open[at], spilled: home.is_some_and(|home| home != at) })
}
