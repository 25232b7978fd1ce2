//! Chooses the backend server for a request.

use crate::decide::{ChatPlace, PlaceQuery, Placement, combine, place};
use crate::filters::forward::Plan;
use crate::filters::{Call, Shared, Target};
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
) -> Option<Placement> {
    if plan.is_isolated
        && let Some(choice) = suspect_placement(shared, pool, plan, tried)
    {
        return Some(choice);
    }
    let bound = load_bound(call);
    let known = known_place(shared, call, plan);
    let held = known.map_or(0, |it| u64::from(it.tokens).min(plan.cost));
    let query = PlaceQuery {
        key: plan.key,
        hint: known.map(|it| (it.engine, it.incarnation)),
        cost: plan.cost,
        warm_cost: plan.cost - held,
        bound,
        attempted: tried,
    };
    let choice = place(&pool.engines, &query)?;
    if is_chat(call) {
        let it = &pool.engines[choice.index];
        let tokens = u32::try_from(plan.cost).unwrap_or(u32::MAX);
        let place = ChatPlace { engine: it.id, incarnation: it.incarnation, tokens };
        shared.chats.set(plan.key, place);
    }
    if choice.spilled {
        shared.counters.spilled.inc();
    }
    Some(choice)
}

/// Where a suspect runs: at the same engine from all routers, so that sends to
/// many routers at once cost one engine (rendezvous hashing, Thaler and
/// Ravishankar 1998). What is known to be dead is passed over.
fn suspect_placement(
    shared: &Shared,
    pool: &Pool,
    plan: &Plan,
    tried: &[usize],
) -> Option<Placement> {
    let fingerprint = plan.fingerprint?;
    let open = pool.engines.iter().enumerate().filter(|(i, it)| {
        let dead = shared.crashes.has_crashed(it.id, it.incarnation);
        !it.leaving && !dead && !tried.contains(i)
    });
    let (index, _) = open.max_by_key(|(_, it)| combine(fingerprint, it.id))?;
    Some(Placement { index, spilled: false })
}

/// Largest load of an engine as a multiple of the mean, by the policy of `call`.
pub(crate) fn load_bound(call: &Call) -> f64 {
    call.view
        .state
        .policy(call.policy.as_deref().unwrap_or(DEFAULT_POLICY))
        .map_or_else(|| PolicySpec::default().bound, |it| it.bound)
}

/// Where the chat's prefix lies: what the caller brings goes before what this
/// router remembers, which tells the length.
fn known_place(shared: &Shared, call: &Call, plan: &Plan) -> Option<ChatPlace> {
    if !is_chat(call) {
        return None;
    }
    let remembered = shared.chats.get(plan.key);
    let Some((engine, incarnation)) = plan.hint else {
        return remembered;
    };
    let same = remembered.filter(|it| (it.engine, it.incarnation) == (engine, incarnation));
    let guess = u32::try_from(plan.cost / 2).unwrap_or(u32::MAX);
    Some(same.unwrap_or(ChatPlace { engine, incarnation, tokens: guess }))
}

/// Whether the call has a prefix that an engine may keep.
fn is_chat(call: &Call) -> bool {
    matches!(call.target, Target::Model { .. })
}
