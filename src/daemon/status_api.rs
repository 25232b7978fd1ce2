//! HTTP API for the timeline and the status of this router.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use warp::http::HeaderMap;
use warp::reply::Response;
use warp::{Filter, Reply};

use crate::controllers::wanted_items;
use crate::daemon::control_api::if_authorised;
use crate::filters::{DEFAULT_POLICY, Shared};
use crate::fleet::{Pool, View};
use crate::state::PolicySpec;
use crate::wire::{WireEngine, WireRequestCount, WireStatus};

#[derive(Debug, Deserialize)]
struct TimelineQuery {
    /// Sequence number of the first event.
    #[serde(default)]
    from: u64,
    /// Maximum age of the events in milliseconds, by the clock of the router.
    last_ms: Option<u64>,
}

/// Routes for the timeline and the status.
pub(crate) fn status_calls(
    shared: &Arc<Shared>,
) -> impl Filter<Extract = (Response,), Error = warp::Rejection> + Clone + Send + Sync + 'static + use<>
{
    let it = Arc::clone(shared);
    let timeline = warp::path!("v1" / "timeline")
        .and(warp::query())
        .and(warp::header::headers_cloned())
        .map(move |query: TimelineQuery, headers: HeaderMap| {
            if_authorised(&it, &headers, |it| {
                let mut page = it.events.page(query.from);
                if let Some(last_ms) = query.last_ms {
                    let oldest = page.now_us.saturating_sub(last_ms.saturating_mul(1_000));
                    page.events.retain(|it| it.at_us >= oldest);
                }
                warp::reply::json(&page).into_response()
            })
        });
    let it = Arc::clone(shared);
    let status = warp::path!("v1" / "status").and(warp::header::headers_cloned()).map(
        move |headers: HeaderMap| {
            if_authorised(&it, &headers, |it| warp::reply::json(&status(it)).into_response())
        },
    );
    warp::get().and(timeline.or(status).unify())
}

/// The current status.
pub fn status(shared: &Shared) -> WireStatus {
    let view = shared.view.load();
    let counters = &shared.counters;
    let own = view.routers.iter().find(|it| it.name == shared.settings.name);
    let requests = counters.verdicts().into_iter();
    let crashes = shared.crashes.current(shared.clock.now()).into_iter().map(|it| it.crash);
    let suspects = crashes.filter(|it| it.lift >= view.state.lift(it.fingerprint));
    let suspects: BTreeSet<u64> = suspects.map(|it| it.fingerprint).collect();
    WireStatus {
        instance: shared.settings.name.clone(),
        domain: shared.settings.domain.clone(),
        ready: view.ready,
        leaving: own.is_some_and(|it| it.leaving),
        next: view.state.next,
        up_ms: shared.events.age().as_millis() as u64,
        in_flight: counters.in_flight.get(),
        requests: requests
            .map(|(kind, verdict, count)| WireRequestCount { kind, verdict, count })
            .collect(),
        prompt_tokens: counters.prompt_tokens.get(),
        cached_tokens: counters.cached_tokens.get(),
        spilled: counters.spilled.get(),
        control_bytes: shared.meter.total(),
        control_budget: shared.settings.state_sync.budget.as_u64(),
        suspects: suspects.iter().map(|it| format!("{it:016x}")).collect(),
        engines: loads(&view),
        items: wanted_items(&view),
    }
}

/// Loads of all backend servers, ordered by pool and name.
fn loads(view: &View) -> Vec<WireEngine> {
    let policy = view.state.policy(DEFAULT_POLICY);
    let multiple = policy.map_or_else(|| PolicySpec::default().bound, |it| it.bound);
    let mut all: Vec<_> =
        view.pools.iter().flat_map(|(name, it)| pool_loads(name, it, multiple)).collect();
    all.sort_by(|a, b| (&a.pool, &a.name).cmp(&(&b.pool, &b.name)));
    all
}

fn pool_loads(name: &str, pool: &Pool, multiple: f64) -> Vec<WireEngine> {
    let open = pool.engines.iter().filter(|it| !it.leaving);
    let count = open.clone().count().max(1);
    let bound = open.map(|it| it.load()).sum::<f64>() / count as f64 * multiple;
    let pairs = pool.engines.iter().zip(&pool.servers);
    pairs
        .map(|(engine, server)| WireEngine {
            name: server.name.clone(),
            pool: name.to_owned(),
            leaving: engine.leaving,
            load: engine.load(),
            bound,
        })
        .collect()
}
