//! Chooses the backend server for a request.

use crate::decide::{ChatPlace, PlaceQuery, Placement, combine, place};
use crate::filters::forward::Plan;
use crate::filters::{Call, Shared, Target};
use crate::fleet::Pool;
use crate::state::PolicySpec;

/// Name of the routing policy of requests for which no experiment sets one.
pub(crate) const DEFAULT_POLICY: &str = "default";

/// Chooses a server of `pool`; `tried` are the indexes of excluded servers.
pub(crate) fn choose(
    shared: &Shared,
    call: &Call,
    pool: &Pool,
    plan: &Plan,
    tried: &[usize],
) -> Option<Placement> {
    if plan.is_isolated
        && let Some(placement) = suspect_placement(shared, pool, plan, tried)
    {
        return Some(placement);
    }
    let bound = load_bound(call);
    let known = known_place(shared, call, plan);
    let cached = known.map_or(0, |it| u64::from(it.tokens).min(plan.cost));
    let query = PlaceQuery {
        key: plan.key,
        hint: known.map(|it| (it.engine, it.incarnation)),
        cost: plan.cost,
        warm_cost: plan.cost - cached,
        bound,
        attempted: tried,
    };
    let placement = place(&pool.engines, &query)?;
    if is_chat(call) {
        let it = &pool.engines[placement.index];
        let tokens = u32::try_from(plan.cost).unwrap_or(u32::MAX);
        let place = ChatPlace { engine: it.id, incarnation: it.incarnation, tokens };
        shared.chats.set(plan.key, place);
    }
    if placement.spilled {
        shared.counters.spilled.inc();
    }
    Some(placement)
}

/// Places a suspect request on the same engine from all routers, so that sending
/// it to many routers at once crashes only one engine (rendezvous hashing, Thaler
/// and Ravishankar 1998). Engines known to have crashed are skipped.
fn suspect_placement(
    shared: &Shared,
    pool: &Pool,
    plan: &Plan,
    tried: &[usize],
) -> Option<Placement> {
    let fingerprint = plan.fingerprint?;
    let candidates = pool.engines.iter().enumerate().filter(|(i, it)| {
        let has_crashed = shared.crashes.has_crashed(it.id, it.incarnation);
        !it.leaving && !has_crashed && !tried.contains(i)
    });
    let (index, _) = candidates.max_by_key(|(_, it)| combine(fingerprint, it.id))?;
    Some(Placement { index, spilled: false })
}

/// Maximum load of an engine as a multiple of the mean, by the policy of `call`.
pub(crate) fn load_bound(call: &Call) -> f64 {
    call.view
        .state
        .policy(call.policy.as_deref().unwrap_or(DEFAULT_POLICY))
        .map_or_else(|| PolicySpec::default().bound, |it| it.bound)
}

/// Engine that holds the chat's prefix. The hint of the caller takes precedence
/// over this router's own record, which also supplies the prefix length.
fn known_place(shared: &Shared, call: &Call, plan: &Plan) -> Option<ChatPlace> {
    if !is_chat(call) {
        return None;
    }
    let recorded = shared.chats.get(plan.key);
    let Some((engine, incarnation)) = plan.hint else {
        return recorded;
    };
    let same = recorded.filter(|it| (it.engine, it.incarnation) == (engine, incarnation));
    // The hint does not carry the length: assume that half of the prompt is cached.
    let assumed = u32::try_from(plan.cost / 2).unwrap_or(u32::MAX);
    Some(same.unwrap_or(ChatPlace { engine, incarnation, tokens: assumed }))
}

/// Whether the call has a prefix that an engine may cache.
fn is_chat(call: &Call) -> bool {
    matches!(call.target, Target::Model { .. })
}
