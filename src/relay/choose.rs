//! Selects the backend server for a request, and builds the request for it.

use std::sync::Arc;
use std::time::Instant;

use smallvec::SmallVec;

use crate::decide::{Candidate, ServiceLoad, combine, hash_bytes, pick};
use crate::relay::exchange::UpstreamRequest;
use crate::relay::pending_request::{Grant, PendingRequest};
use crate::relay::{OutgoingMeta, Refusal, Relay, drop_hop_headers};
use crate::servers::Server;

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
        let seed = hash_bytes(pending.meta.id.as_bytes());
        let service = grant.route.target(key.unwrap_or(seed)).ok_or(Refusal::NoServer)?;
        pending.trace.service.clear();
        pending.trace.service.push_str(service);
        let servers = self.servers.lock().unwrap().of_service(service).ok_or(Refusal::NoServer)?;
        let now = self.clock.now();
        let rules = self.rules.load();
        let min_objective = rules.and_then(|it| it.min_objective(service, grant.rank()));
        let objective = min_objective.unwrap_or(grant.route.objective);
        let max_loads = |load: &mut ServiceLoad| {
            servers.iter().map(|it| load.max_in_flight(it.slots, objective)).collect()
        };
        let max_loads: SmallVec<[u32; 32]> =
            self.service_loads.with(service, ServiceLoad::default, max_loads);
        let candidates: SmallVec<[Candidate; 32]> = servers
            .iter()
            .zip(max_loads)
            .map(|(it, max_load)| candidate(it, &pending.excluded, max_load, now))
            .collect();
        let any_open = candidates.iter().any(|it| !it.closed);
        let picked = pick(&candidates, key, &self.limits().bound, seed);
        let remaining = pending.deadline.saturating_duration_since(now);
        pending.trace.retry_after = self.service_loads.with(service, ServiceLoad::default, |it| {
            it.record_selection(picked.is_some());
            (picked.is_none() && any_open).then(|| it.retry_after(remaining, rand::random()))
        });
        let refusal = if any_open { Refusal::NoRoom } else { Refusal::NoServer };
        let server = picked.map(|at| Arc::clone(&servers[at])).ok_or(refusal)?;
        // Another request may have spent the allowance in the meantime.
        if server.take_allowance(now) { Ok(server) } else { Err(Refusal::NoRoom) }
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
        self.prefix_holders.source(key, server, now).or_else(|| {
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

fn candidate(server: &Server, excluded: &[u64], max_load: u32, now: Instant) -> Candidate {
    let open = server.is_reachable(now) && !server.is_ejected();
    let closed = !open || excluded.contains(&server.hash);
    let max_load = if server.has_allowance(now) { max_load } else { 0 };
    Candidate { hash: server.hash, load: server.load(now), slots: server.slots, max_load, closed }
}
