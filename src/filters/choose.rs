//! Chooses the backend server for a request.

use crate::decide::{Choice, PlaceQuery, place};
use crate::filters::forward::Plan;
use crate::filters::{Call, Shared};
use crate::fleet::Pool;
use crate::state::PolicySpec;

/// Name of the routing policy that holds for all requests.
const DEFAULT_POLICY: &str = "default";

/// Chooses a server of `pool` that is not among `tried`, by index.
pub(crate) fn choose(
    shared: &Shared,
    call: &Call,
    pool: &Pool,
    plan: &Plan,
    tried: &[usize],
) -> Option<Choice> {
    // With a bound of 0 only an idle engine fits, else the least loaded is taken.
    let bound = if plan.alone { 0.0 } else { load_bound(call) };
    let query = PlaceQuery {
        key: plan.key,
        hint: plan.hint,
        cost: plan.cost,
        warm: plan.cost,
        bound,
        tried,
    };
    let choice = place(&pool.engines, &query)?;
    if choice.spilled {
        shared.counters.spilled.inc();
    }
    Some(choice)
}

/// Largest load of an engine as a multiple of the mean, by the policy of `call`.
pub(crate) fn load_bound(call: &Call) -> f64 {
    call.view
        .state
        .policy(call.policy.as_deref().unwrap_or(DEFAULT_POLICY))
        .map_or_else(|| PolicySpec::default().bound, |it| it.bound)
}
