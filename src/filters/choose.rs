//! Chooses the backend server for a request.

use crate::decide::{Choice, PlaceQuery, place};
use crate::filters::forward::Plan;
use crate::filters::{Call, Shared};
use crate::fleet::Pool;
use crate::state::PolicySpec;

/// Name of the routing policy that holds for all requests.
pub(crate) const DEFAULT_POLICY: &str = "default";

/// Chooses a server of `pool` that is not among `tried`, by index.
pub(crate) fn choose(
    shared: &Shared,
    call: &Call,
    pool: &Pool,
    plan: &Plan,
    tried: &[usize],
) -> Option<Choice> {
    let bound = call
        .view
        .state
        .policy(call.policy.as_deref().unwrap_or(DEFAULT_POLICY))
        .map_or_else(|| PolicySpec::default().bound, |it| it.bound);
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
