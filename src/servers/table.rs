//! All backend servers that may get requests.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::decide::{Results, is_failing, max_avoided};
use crate::servers::{Change, Page, Server, ServerRecord, ServerState};
use crate::wire::WireServer;

/// How long records may lack after an outage of their source.
const RETURN_TIME: Duration = Duration::from_millis(2_000);
/// How long the last record of a server that is gone is kept, against older ones.
const FORGET_TIME: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct Known {
    record: ServerRecord,
    /// Absent when its newest record cannot be used or is gone.
    server: Option<Arc<Server>>,
    /// When its record went; absent while it is there.
    gone: Option<Instant>,
    /// Its record went during an outage: still used until then.
    held: Option<Instant>,
    /// Number of its last change that others have to hear of.
    revision: u64,
}

key! {
    /// What a change did to a server.
    pub enum Effect {
        /// Nothing.
        None,
        /// A new incarnation takes work.
        Joined,
        /// It takes no new work.
        Left,
        /// Its record is not to be used.
        Unreadable,
        /// Its record went during an outage and may come back.
        Retained,
    }
}

/// The backend servers by id and by service.
#[derive(Debug, Default)]
pub struct ServerTable {
    known: HashMap<String, Known>,
    /// Servers that take work. Invariant: agrees with `known`.
    services: HashMap<String, Arc<[Arc<Server>]>>,
    /// Records that go before then may come back.
    returning: Option<Instant>,
    /// Number of the last change.
    revision: u64,
    /// Highest revision among the servers that were forgotten.
    forgotten: u64,
}

impl ServerTable {
    /// The source of records answers again after an outage. Records that go from
    /// now on may come back for a while, at the `latest` until then.
    pub fn source_recovered(&mut self, now: Instant, latest: Instant) {
        self.returning = Some(latest.min(now + RETURN_TIME));
    }

    /// Servers of `service` that take work.
    pub fn of_service(&self, service: &str) -> Option<Arc<[Arc<Server>]>> {
        self.services.get(service).cloned()
    }

    /// All servers that take work.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.services.values().flat_map(|it| it.iter())
    }

    /// Judges all servers by their results; `note` hears of each that is avoided
    /// from now on, or no longer, with the results of its whole service.
    pub fn update_ejections(&self, now: Instant, mut note: impl FnMut(&Server, Results)) {
        for servers in self.services.values() {
            let results = servers.iter().map(|it| it.results(now));
            let all = results.fold(Results::default(), Results::and);
            let mut left = max_avoided(servers.len());
            for it in servers.iter() {
                let failing = is_failing(it.results(now), all, it.is_ejected()) && left > 0;
                left -= usize::from(failing);
                if failing != it.is_ejected() {
                    it.set_ejected(failing);
                    note(it, all);
                }
            }
        }
    }

    /// Number of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// What changed after `revision`: all servers (true) when that is no longer known.
    pub fn since(&self, revision: u64) -> (bool, Vec<(String, Option<WireServer>)>) {
        let whole = revision < self.forgotten || revision > self.revision;
        let news = self.known.iter().filter(|(_, it)| whole || it.revision > revision);
        let row = |(id, it): (&String, &Known)| {
            let record = it.server.as_ref().map(|_| WireServer::from(&it.record));
            (id.clone(), record)
        };
        let rows = news.map(row).filter(|(_, record)| !whole || record.is_some());
        (whole, rows.collect())
    }

    /// Takes what the source tells; `note` hears of each server that it changed.
    pub fn apply(
        &mut self,
        page: Page<ServerRecord>,
        now: Instant,
        mut note: impl FnMut(&str, Effect),
    ) {
        if page.is_complete {
            for id in self.missing(&page.changes) {
                let effect = self.remove(&id, now);
                note(&id, effect);
            }
        }
        for change in page.changes {
            let effect = match change.value {
                Some(Ok(record)) => self.update(&change.key, record),
                Some(Err(_)) => self.unreadable(&change.key),
                None => self.remove(&change.key, now),
            };
            note(&change.key, effect);
        }
        self.rebuild();
    }

    /// When the next server ends whose record went during an outage.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.known.values().filter_map(|it| it.held).min()
    }

    /// Ends what time ends; `note` hears of each server that went.
    pub fn expire(&mut self, now: Instant, mut note: impl FnMut(&str, Effect)) {
        let mut ended = false;
        for (id, it) in &mut self.known {
            if it.held.is_some_and(|until| now >= until) {
                it.held = None;
                if let Some(server) = it.server.take() {
                    server.mark_gone();
                }
                ended = true;
                self.revision += 1;
                it.revision = self.revision;
                note(id, Effect::Left);
            }
        }
        let old = |it: &Known| it.gone.is_some_and(|at| now >= at + FORGET_TIME);
        let lost = self.known.values().filter(|it| old(it)).map(|it| it.revision).max();
        self.forgotten = self.forgotten.max(lost.unwrap_or(0));
        self.known.retain(|_, it| !old(it));
        if ended {
            self.rebuild();
        }
    }

    fn missing(&self, present: &[Change<ServerRecord>]) -> Vec<String> {
        let listed: HashSet<&str> = present.iter().map(|it| it.key.as_str()).collect();
        let there = self.known.iter().filter(|(_, it)| it.gone.is_none());
        there.filter(|(id, _)| !listed.contains(id.as_str())).map(|(id, _)| id.clone()).collect()
    }

    fn update(&mut self, id: &str, record: ServerRecord) -> Effect {
        let former = self.known.get(id);
        if former.is_some_and(|it| !record.is_newer_than(&it.record) && it.gone.is_some()) {
            return Effect::None;
        }
        if former.is_some_and(|it| it.record.is_newer_than(&record)) {
            return Effect::None;
        }
        let former = self.known.remove(id);
        let revision = match &former {
            Some(it) if it.server.is_some() && record.is_heartbeat_after(&it.record) => it.revision,
            _ => self.next_revision(),
        };
        let server = former.and_then(|it| it.server).filter(|it| it.matches(&record));
        let fresh = server.is_none();
        let server = server.unwrap_or_else(|| Arc::new(Server::new(id, &record)));
        let left = record.state == ServerState::Leaving && !server.is_leaving();
        if left {
            server.mark_leaving();
        }
        let known = Known { record, server: Some(server), gone: None, held: None, revision };
        self.known.insert(id.to_owned(), known);
        match (left, fresh) {
            (true, _) => Effect::Left,
            (false, true) => Effect::Joined,
            (false, false) => Effect::None,
        }
    }

    fn next_revision(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    fn unreadable(&mut self, id: &str) -> Effect {
        let revision = self.next_revision();
        if let Some(it) = self.known.get_mut(id) {
            it.server = None;
            it.revision = revision;
        }
        Effect::Unreadable
    }

    fn remove(&mut self, id: &str, now: Instant) -> Effect {
        let returning = self.returning.filter(|until| now < *until);
        let revision = self.next_revision();
        let Some(it) = self.known.get_mut(id) else {
            return Effect::None;
        };
        if it.gone.is_some() {
            return Effect::None;
        }
        it.gone = Some(now);
        if returning.is_some() && it.server.as_ref().is_some_and(|it| !it.is_leaving()) {
            it.held = returning;
            return Effect::Retained;
        }
        it.revision = revision;
        if let Some(server) = it.server.take() {
            server.mark_gone();
        }
        Effect::Left
    }

    fn rebuild(&mut self) {
        let mut services: HashMap<String, Vec<Arc<Server>>> = HashMap::new();
        for it in self.known.values() {
            let Some(server) = it.server.as_ref().filter(|it| !it.is_leaving()) else {
                continue;
            };
            services.entry(it.record.service.clone()).or_default().push(Arc::clone(server));
        }
        for it in services.values_mut() {
            it.sort_by_key(|it| it.hash);
        }
        self.services = services.into_iter().map(|(name, it)| (name, it.into())).collect();
    }
}
