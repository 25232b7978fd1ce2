//! The backend server for a request, and what it is sent.

use std::sync::Arc;
use std::time::Instant;

use smallvec::SmallVec;

use crate::decide::{Candidate, ServiceLoad, combine, hash_bytes, pick};
use crate::relay::exchange::Sending;
use crate::relay::pending_request::{Grant, PendingRequest};
use crate::relay::{OutgoingMeta, Refusal, Relay, drop_hop_headers};
use crate::servers::Server;

/// Connections tried for one request before it is refused.
const MOST_CONNECTS: usize = 4;

impl Relay {
    /// The backend server for the next try.
    pub(crate) fn choose(
        &self,
        job: &mut PendingRequest,
        grant: &Grant,
    ) -> Result<Arc<Server>, Refusal> {
        if job.connects >= MOST_CONNECTS {
            return Err(Refusal::NoServer);
        }
        job.connects += 1;
        let key = job.ask.prefix_key();
        let seed = hash_bytes(job.ask.id.as_bytes());
        let service = grant.route.target(key.unwrap_or(seed)).ok_or(Refusal::NoServer)?;
        job.trail.service.clear();
        job.trail.service.push_str(service);
        let servers = self.servers.lock().unwrap().of_service(service).ok_or(Refusal::NoServer)?;
        let now = self.clock.now();
        let rules = self.rules.load();
        let shortest = rules.and_then(|it| it.min_objective(service, grant.rank()));
        let objective = shortest.unwrap_or(grant.route.objective);
        let most = |pace: &mut ServiceLoad| {
            servers.iter().map(|it| pace.max_in_flight(it.slots, objective)).collect()
        };
        let most: SmallVec<[u32; 32]> =
            self.service_loads.with(service, ServiceLoad::default, most);
        let all: SmallVec<[Candidate; 32]> = servers
            .iter()
            .zip(most)
            .map(|(it, most)| candidate(it, &job.tried, most, now))
            .collect();
        let full = all.iter().any(|it| !it.closed);
        let at = pick(&all, key, &self.limits().bound, seed);
        let left = job.deadline.saturating_duration_since(now);
        job.trail.retry_after = self.service_loads.with(service, ServiceLoad::default, |it| {
            it.record_selection(at.is_some());
            (at.is_none() && full).then(|| it.retry_after(left, rand::random()))
        });
        at.map(|at| Arc::clone(&servers[at])).ok_or(if full {
            Refusal::NoRoom
        } else {
            Refusal::NoServer
        })
    }

    /// Who can hand the prefix `key` over to `server`: a known holder, else the
    /// first other one in the rank, where other routers send it.
    fn source(
        &self,
        job: &PendingRequest,
        key: u64,
        server: &Arc<Server>,
        now: Instant,
    ) -> Option<Arc<Server>> {
        if self.prefix_holders.holds(key, server, now) {
            return None;
        }
        self.prefix_holders.source(key, server, now).or_else(|| {
            let servers = self.servers.lock().unwrap().of_service(&job.trail.service)?;
            let others = servers.iter().filter(|it| !Arc::ptr_eq(it, server));
            let open = others.filter(|it| it.is_reachable(now));
            open.max_by_key(|it| combine(key, it.hash)).cloned()
        })
    }

    /// The request as it goes to `server`.
    pub(crate) fn sending(
        &self,
        job: &PendingRequest,
        grant: &Grant,
        server: &Arc<Server>,
    ) -> Sending {
        let mut headers = job.head.headers.clone();
        drop_hop_headers(&mut headers);
        let organisation = grant.organisation.as_deref();
        let now = self.clock.now();
        let key = job.ask.prefix_key();
        let source = key.and_then(|key| self.source(job, key, server, now));
        let outgoing = OutgoingMeta {
            source: source.map(|it| it.address),
            server: &server.id,
            organisation: organisation.map(|it| it.name.as_str()),
            remaining: job.deadline.saturating_duration_since(now),
            priority: grant.rank(),
            last_event: job.last_event.as_deref(),
        };
        (self.codec.outgoing)(&mut headers, &outgoing);
        Sending {
            method: job.head.method.clone(),
            uri: job.head.uri.clone(),
            headers,
            body: job.body.clone(),
        }
    }
}

fn candidate(server: &Server, tried: &[u64], most: u32, now: Instant) -> Candidate {
    let open = server.is_reachable(now) && !server.is_ejected();
    let closed = !open || tried.contains(&server.hash);
    Candidate {
        hash: server.hash,
        load: server.load(now),
        slots: server.slots,
        max_load: most,
        closed,
    }
}
