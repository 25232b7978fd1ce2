//! The backend server for a request, and what it is sent.

use std::sync::Arc;
use std::time::Instant;

use smallvec::SmallVec;

use crate::decide::{Candidate, combine, hash_bytes, pick};
use crate::relay::exchange::Sending;
use crate::relay::job::{Grant, Job};
use crate::relay::{Outgoing, Refusal, Relay, drop_hop_headers};
use crate::servers::Server;

/// Connections tried for one request before it is refused.
const MOST_CONNECTS: usize = 4;

impl Relay {
    /// The backend server for the next try.
    pub(crate) fn choose(&self, job: &mut Job, grant: &Grant) -> Result<Arc<Server>, Refusal> {
        if job.connects >= MOST_CONNECTS {
            return Err(Refusal::NoServer);
        }
        job.connects += 1;
        let key = job.ask.prefix_key();
        let seed = hash_bytes(job.ask.id.as_bytes());
        let service = grant.route.target(key.unwrap_or(seed)).ok_or(Refusal::NoServer)?;
        job.trail.service.clear();
        job.trail.service.push_str(service);
        let servers = self.servers.lock().unwrap().of(service).ok_or(Refusal::NoServer)?;
        let now = self.clock.now();
        let all: SmallVec<[Candidate; 32]> =
            servers.iter().map(|it| candidate(it, &job.tried, now)).collect();
        let full = all.iter().any(|it| !it.closed);
        let refusal = if full { Refusal::NoRoom } else { Refusal::NoServer };
        let at = pick(&all, key, &self.limits().bound, seed).ok_or(refusal)?;
        Ok(Arc::clone(&servers[at]))
    }

    /// Who can hand the prefix `key` over to `server`: a known holder, else the
    /// first other one in the rank, where other routers send it.
    fn source(
        &self,
        job: &Job,
        key: u64,
        server: &Arc<Server>,
        now: Instant,
    ) -> Option<Arc<Server>> {
        if self.homes.holds(key, server, now) {
            return None;
        }
        self.homes.source(key, server, now).or_else(|| {
            let servers = self.servers.lock().unwrap().of(&job.trail.service)?;
            let others = servers.iter().filter(|it| !Arc::ptr_eq(it, server));
            let open = others.filter(|it| it.is_reachable(now));
            open.max_by_key(|it| combine(key, it.hash)).cloned()
        })
    }

    /// The request as it goes to `server`.
    pub(crate) fn sending(&self, job: &Job, grant: &Grant, server: &Arc<Server>) -> Sending {
        let mut headers = job.head.headers.clone();
        drop_hop_headers(&mut headers);
        let organisation = grant.organisation.as_deref();
        let own = organisation.and_then(|it| it.priority);
        let now = self.clock.now();
        let key = job.ask.prefix_key();
        let source = key.and_then(|key| self.source(job, key, server, now));
        let outgoing = Outgoing {
            source: source.map(|it| it.address),
            server: &server.id,
            organisation: organisation.map(|it| it.name.as_str()),
            left: job.deadline.saturating_duration_since(now),
            priority: own.unwrap_or(grant.route.priority),
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

fn candidate(server: &Server, tried: &[u64], now: Instant) -> Candidate {
    let open = server.is_reachable(now) && !server.is_avoided();
    let closed = !open || tried.contains(&server.hash);
    Candidate { hash: server.hash, load: server.load(), slots: server.slots, closed }
}
