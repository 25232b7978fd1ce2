//! Admission of requests: rate limits, then capacity of the pool.

use std::sync::Arc;
use std::time::Duration;

use crate::admission::{AdmissionRequest, Permit};
use crate::decide::{EntryRouter, PoolUsage, hash_bytes, rate_share, router_capacity};
use crate::filters::{Call, Reason, Refusal, Shared};
use crate::fleet::{Router, View};
use crate::state::OrganisationSpec;

/// Maximum time after which a refused caller is told to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Minimum time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Added priority of a short request over a long one of the same organisation.
const SHORT_PRIORITY: u8 = 1;

/// The routers of a view, as used for entry answers and rate limits.
pub(crate) fn entry_routers<'a>(view: &'a View) -> Vec<EntryRouter<'a>> {
    let router =
        |it: &'a Router| EntryRouter { id: it.id, domain: &it.domain, leaving: it.leaving };
    view.routers.iter().map(router).collect()
}

/// Refuses requests of an organisation beyond this router's share of its rate limit.
pub(crate) fn limit_rate(shared: &Shared, call: &mut Call) -> Result<(), Refusal> {
    let Some(rate) = call.view.state.organisation(&call.organisation).and_then(|it| it.rate) else {
        return Ok(());
    };
    let routers = entry_routers(&call.view);
    let own = hash_bytes(shared.settings.name.as_bytes());
    let organisation = hash_bytes(call.organisation.as_bytes());
    let share = rate * rate_share(&routers, own, organisation, rate);
    shared.admission.check_rate(&call.organisation, share, shared.clock.now()).map_err(|time| {
        let message = format!("organisation `{}` is above its rate limit", call.organisation);
        refusal(Reason::RateExceeded, message, time)
    })
}

/// Waits for free capacity at `pool`. Without load reports there is no limit.
pub(crate) async fn wait_for_capacity(
    shared: &Shared,
    call: &Call,
    pool: &str,
    cost: u64,
) -> Result<Option<Arc<Permit>>, Refusal> {
    let load = call.view.pools.get(pool).map(|it| &it.load);
    let Some(load) = load.filter(|it| it.slots > 0) else {
        return Ok(None);
    };
    let now = shared.clock.now();
    let limiter = shared.admission.limiter(pool, now);
    let admission = &shared.settings.admission;
    let routers = call.view.routers.iter().filter(|it| !it.leaving).count() as u64;
    let capacity_at = |headroom| {
        router_capacity(&PoolUsage {
            slots: load.slots,
            busy: load.busy,
            own: limiter.in_flight(),
            routers: routers.max(1),
            headroom,
        })
    };
    let unlisted = OrganisationSpec::default();
    let organisation = call.view.state.organisation(&call.organisation).unwrap_or(&unlisted);
    let request = AdmissionRequest {
        organisation: &call.organisation,
        weight: organisation.weight,
        cost,
        until: call.deadline.min(now + admission.wait),
        capacity: capacity_at(admission.headroom),
        short_capacity: capacity_at(admission.short_headroom),
    };
    match limiter.acquire(&request, now).await {
        Ok(permit) => Ok(Some(Arc::new(permit))),
        Err(time) => {
            let message = format!("pool `{pool}` had no capacity for this request in time");
            Err(refusal(Reason::NoRoom, message, time))
        }
    }
}

/// Priority of a request at engines: that of its organisation, and short requests
/// before long ones.
pub(crate) fn priority(shared: &Shared, call: &Call, cost: u64) -> u8 {
    let organisation = call.view.state.organisation(&call.organisation);
    let base = organisation.map_or(0, |it| it.priority).min(u8::MAX / 2) * 2;
    let short = cost <= shared.settings.admission.short_tokens;
    base + if short { SHORT_PRIORITY } else { 0 }
}

fn refusal(reason: Reason, message: String, time: Duration) -> Refusal {
    Refusal::not_run(reason, message).retry_after(time.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
}
