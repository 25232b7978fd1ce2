//! Selects the backend server for a request, and builds the request for it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::decide::{
    Candidate, ServiceLoad, UNSEEN_TIME, USUAL_PACE, combine, max_at_brittle, pick,
};
use crate::relay::exchange::UpstreamRequest;
use crate::relay::pending_request::{Grant, PendingRequest};
use crate::relay::{OutgoingMeta, Refusal, Relay, drop_hop_headers};
use crate::servers::{ColdTerms, Server};

/// Limit on the servers selected for one request before it is refused. A stream that
/// resumes starts anew.
const MAX_SELECTIONS: usize = 4;

impl Relay {
    /// Selects the backend server for the next attempt.
    pub(crate) fn select_server(
        &self,
        pending: &mut PendingRequest,
        grant: &Grant,
    ) -> Result<Arc<Server>, Refusal> {
        if pending.selections >= MAX_SELECTIONS {
            return Err(Refusal::NoServer);
        }
        pending.selections += 1;
        let key = pending.meta.prefix_key();
        let seed = pending.id_hash();
        let service = pending.target_service(grant).ok_or(Refusal::NoServer)?;
        pending.trace.service.clear();
        pending.trace.service.push_str(service);
        let servers = self.available_servers(service)?;
        let now = self.clock.now();
        let objective = self.min_objective(service, grant);
        if !has_software(&servers, pending.software) {
            return Err(Refusal::NoVersion);
        }
        let candidates = self.candidates(pending, grant, &servers, objective, now);
        let any_open = candidates.iter().any(|it| !it.closed);
        let competing = key.map_or(0.0, |key| self.competing(service, key, now));
        let budget = self.token_budget(pending, grant, objective, now)?;
        let bound = self.limits().bound.clone();
        let first = pick(&candidates, key, competing, &bound, seed);
        let picked = match &budget {
            Some(it) => first.and_then(|first| it.choose(&candidates, &servers, first, &bound)),
            None => first,
        };
        // A refusal is logged with what was known of the first choice.
        pending.trace.place = budget.zip(picked.or(first)).map(|(it, at)| it.place(&servers[at]));
        let refusal = if any_open { Refusal::NoRoom } else { Refusal::NoServer };
        let server = picked.map(|at| Arc::clone(&servers[at])).ok_or(refusal)?;
        // Another request may have spent the allowance in the meantime.
        if server.take_allowance(&self.cold_terms(service), now) {
            Ok(server)
        } else {
            Err(Refusal::NoRoom)
        }
    }

    /// Servers of `service` that take work.
    ///
    /// # Errors
    /// Says why there are none.
    fn available_servers(&self, service: &str) -> Result<Arc<[Arc<Server>]>, Refusal> {
        let servers = self.servers.lock().unwrap();
        let refusal = || match servers.is_evacuated(service) {
            true => Refusal::Evacuated,
            false => Refusal::NoServer,
        };
        servers.of_service(service).ok_or_else(refusal)
    }

    /// Requests with the prefix `key` of the other routers that are in flight at `service` and
    /// not reported yet, if each sends as many as this one.
    fn competing(&self, service: &str, key: u64, now: Instant) -> f64 {
        let rate = self.key_rates.lock().unwrap().record(key, now);
        let others = self.routers.load(Ordering::Relaxed).saturating_sub(1);
        if others == 0 {
            return 0.0;
        }
        let time = self.service_loads.with(service, ServiceLoad::default, |it| it.service_time());
        let unseen = time.map_or(UNSEEN_TIME, |it| it.min(UNSEEN_TIME));
        rate * unseen.as_secs_f64() * others as f64
    }

    fn candidates(
        &self,
        pending: &PendingRequest,
        grant: &Grant,
        servers: &[Arc<Server>],
        objective: Duration,
        now: Instant,
    ) -> SmallVec<[Candidate; 32]> {
        let max_loads = |load: &mut ServiceLoad| {
            let max =
                |it: &Arc<Server>| load.max_in_flight_at(it.slots, objective, it.pace.factor());
            servers.iter().map(max).collect()
        };
        let service = &pending.trace.service;
        let share = self.room_share(service, pending.lane, now);
        let max_loads: SmallVec<[u32; 32]> =
            self.service_loads.with(service, ServiceLoad::default, max_loads);
        let is_brittle = self.is_brittle(service);
        let routers = self.routers.load(Ordering::Relaxed);
        let cold = self.cold_terms(service);
        // Without a registered version the store has been out of reach: better any than none.
        let only_registered = self.begins_resumable_stream(pending, grant)
            && servers.iter().any(|it| it.is_registered());
        let all = servers.iter().zip(max_loads).map(|(it, max_load)| {
            let max_load = if is_brittle { brittle_load(it, routers) } else { max_load };
            let max_load = (f64::from(max_load) * share).ceil() as u32;
            let mut candidate = candidate(it, pending, max_load, &cold, now);
            candidate.closed |= only_registered && !it.is_registered();
            candidate
        });
        all.collect()
    }

    /// The shortest objective of the routes of `service` that are as urgent or more.
    fn min_objective(&self, service: &str, grant: &Grant) -> Duration {
        let rules = self.rules.load();
        let min_objective = rules.and_then(|it| it.min_objective(service, grant.rank()));
        min_objective.unwrap_or(grant.route.objective)
    }

    /// Whether another server than `from` has room for a request, as far as is known, or another
    /// router may take it.
    pub(crate) fn has_successor(
        &self,
        pending: &PendingRequest,
        grant: &Grant,
        from: Option<&Server>,
    ) -> bool {
        let service = &pending.trace.service;
        if self.is_cut_off(service) {
            return self.has_forwarder(pending, service);
        }
        let servers = self.of_service(service);
        let objective = self.min_objective(service, grant);
        let candidates = self.candidates(pending, grant, &servers, objective, self.clock.now());
        let is_other = |it: &Candidate| from.is_none_or(|from| it.hash != from.hash);
        candidates.iter().any(|it| is_other(it) && !it.closed && it.load < it.max_load)
    }

    /// A server that can hand over the prefix `key` to `server`: a known holder, or else
    /// the first other server in the hash order, which other routers prefer for the prefix.
    fn prefix_source(
        &self,
        pending: &PendingRequest,
        key: u64,
        server: &Arc<Server>,
        now: Instant,
    ) -> Option<Arc<Server>> {
        if self.prefix_holders.holds(key, server, now) {
            return None;
        }
        let may_send = |it: &Server| !self.is_evacuated(it);
        self.prefix_holders.source(key, server, now, may_send).or_else(|| {
            let servers = self.servers.lock().unwrap().of_service(&pending.trace.service)?;
            let others = servers.iter().filter(|it| !Arc::ptr_eq(it, server));
            let reachable = others.filter(|it| it.is_reachable(now));
            reachable.max_by_key(|it| combine(key, it.hash)).cloned()
        })
    }

    /// Builds the request for `server`.
    pub(crate) fn upstream_request(
        &self,
        pending: &PendingRequest,
        grant: &Grant,
        server: &Arc<Server>,
    ) -> UpstreamRequest {
        let mut headers = pending.head.headers.clone();
        drop_hop_headers(&mut headers);
        let organisation = grant.organisation.as_deref();
        let now = self.clock.now();
        let key = pending.meta.prefix_key();
        let source = key.and_then(|key| self.prefix_source(pending, key, server, now));
        let outgoing = OutgoingMeta {
            source: source.map(|it| it.address),
            server: &server.id,
            organisation: organisation.map(|it| it.name.as_str()),
            remaining: pending.deadline.saturating_duration_since(now),
            priority: grant.rank(),
            last_event: pending.last_event.as_deref(),
        };
        (self.codec.outgoing)(&mut headers, &outgoing);
        UpstreamRequest {
            method: pending.head.method.clone(),
            uri: pending.head.uri.clone(),
            headers,
            body: pending.body.clone(),
        }
    }
}

/// Whether one of `servers` may take a stream that the version `software` began.
fn has_software(servers: &[Arc<Server>], software: Option<u64>) -> bool {
    software.is_none() || servers.iter().any(|it| it.fits_software(software))
}

/// Requests that may be in flight at a brittle server, before another one of this router.
fn brittle_load(server: &Server, routers: usize) -> u32 {
    let (all, own) = max_at_brittle(server.slots, routers);
    if server.own() < own { all } else { 0 }
}

fn candidate(
    server: &Server,
    pending: &PendingRequest,
    max_load: u32,
    cold: &ColdTerms,
    now: Instant,
) -> Candidate {
    let open = server.is_reachable(now) && !server.is_ejected();
    let excluded = pending.excluded.contains(&server.hash);
    let closed = !open || excluded || !server.fits_software(pending.software);
    let max_load = if server.has_allowance(cold, now) { max_load } else { 0 };
    Candidate {
        hash: server.hash,
        load: server.load(now),
        slots: server.slots,
        pace: (server.pace.factor() * f64::from(USUAL_PACE)).round() as u32,
        max_load,
        closed,
    }
}
