//! All backend servers that may get requests.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::decide::{Results, combine, follow_paces, hash_bytes, is_failing, max_avoided};
use crate::servers::leaving_statements::LeavingStatements;
use crate::servers::restoration::Restoration;
use crate::servers::software_history::SoftwareHistory;
use crate::servers::table_entry::Entry;
use crate::servers::table_evacuation::EvacuatedServers;
use crate::servers::table_id::TableId;
use crate::servers::{
    Change, Effect, Page, Position, RegisteredSoftware, RouterProcess, Server, ServerRecord,
    ServerState, StatedCondition, TableChanges, TableRevision,
};

/// How long records may be missing after an outage of the store that supplies them.
const REAPPEAR_TIME: Duration = Duration::from_millis(2_000);
/// How long the last record of a server that is gone is retained, so that older
/// records are ignored.
const RETENTION_TIME: Duration = Duration::from_secs(60);

/// The backend servers by id and by service.
#[derive(Debug, Default)]
pub struct ServerTable {
    id: TableId,
    /// What was read of the store, by this router or by the one that supplied it. Never goes
    /// back: a reader that lags must not undo what is known.
    position: Position,
    entries: HashMap<String, Entry>,
    /// Servers that take work. Invariant: consistent with `entries`.
    pub(super) services: HashMap<String, Arc<[Arc<Server>]>>,
    /// Those that do not because their failure domains are evacuated. Invariant: consistent with
    /// `entries`.
    pub(super) evacuated: EvacuatedServers,
    /// Incarnations that said that they leave, whatever their records say.
    leaving: LeavingStatements,
    /// Software versions that served lately, of servers that are gone too.
    pub(super) software: SoftwareHistory,
    /// Those at which streams may begin.
    pub(super) registered: RegisteredSoftware,
    /// The last restoration of the store, if one is known.
    pub(super) restoration: Option<Restoration>,
    /// The process that this table belongs to.
    pub(super) process: RouterProcess,
    /// New incarnations that are to be confirmed by a health check, and their services.
    unconfirmed: Vec<(Arc<Server>, String)>,
    /// Records that go before then may reappear.
    reappear_until: Option<Instant>,
    /// Number of the last change; each change increases it.
    revision: u64,
    /// Highest revision of the removed entries.
    removed_revision: u64,
}

impl ServerTable {
    /// To be called when the store that supplies the records answers again after an outage.
    /// Records that go from now on may reappear for a while, until `latest` at most.
    pub fn source_recovered(&mut self, now: Instant, latest: Instant) {
        self.reappear_until = Some(latest.min(now + REAPPEAR_TIME));
    }

    /// Up to where the store was read, by this router or by the one that supplied its records.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Servers of `service` that take work.
    pub fn of_service(&self, service: &str) -> Option<Arc<[Arc<Server>]>> {
        self.services.get(service).cloned()
    }

    /// Servers that take work, and their services.
    pub fn by_service(&self) -> impl Iterator<Item = (&str, &Arc<Server>)> {
        let all = self.services.iter();
        all.flat_map(|(name, servers)| servers.iter().map(|it| (name.as_str(), it)))
    }

    /// All servers that take work, or will once their failure domains are taken back.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Server>> {
        let evacuated = self.evacuated.by_service.values();
        self.services.values().flat_map(|it| it.iter()).chain(evacuated.flatten())
    }

    /// Updates which servers are ejected, by their results. `on_change` is called for
    /// each server whose ejection begins or ends, with the results of its whole service.
    pub fn update_ejections(&self, now: Instant, mut on_change: impl FnMut(&Server, Results)) {
        for servers in self.services.values() {
            let results = servers.iter().map(|it| it.results(now));
            let all = results.fold(Results::default(), Results::and);
            let mut remaining = max_avoided(servers.len());
            for it in servers.iter() {
                let failing = is_failing(it.results(now), all, it.is_ejected()) && remaining > 0;
                remaining -= usize::from(failing);
                if failing != it.is_ejected() {
                    it.set_ejected(failing);
                    on_change(it, all);
                }
            }
        }
    }

    /// Updates how far each server counts as slower or quicker than the others of its service.
    pub fn follow_paces(&self, now: Instant) {
        for servers in self.services.values() {
            follow_paces(servers.iter().map(|it| &it.pace), now);
        }
    }

    /// The changes after `known`; all servers when those are not known, or if it is a revision
    /// of another table. Servers without a record are gone, also those that this router still uses
    /// after an outage of its own: who asks may have had none.
    pub fn since(&self, known: TableRevision) -> TableChanges {
        let is_complete = known.table != self.id.0
            || known.number < self.removed_revision
            || known.number > self.revision;
        let is_changed = |it: &Entry| is_complete || it.revision > known.number;
        let changed = self.entries.iter().filter(|(_, it)| is_changed(it));
        let entry = |(id, it): (&String, &Entry)| {
            let has_record = it.server.is_some() && it.gone.is_none();
            (id.clone(), has_record.then(|| it.record.clone()))
        };
        let entries = changed.map(entry).filter(|(_, record)| !is_complete || record.is_some());
        TableChanges {
            revision: TableRevision { table: self.id.0, number: self.revision },
            position: self.position,
            is_complete,
            entries: entries.collect(),
        }
    }

    /// Applies changes from the store; `on_effect` is called with the effect of each change.
    /// Returns false, and changes nothing, if the page is older than what is known.
    pub fn apply(
        &mut self,
        page: Page<ServerRecord>,
        now: Instant,
        mut on_effect: impl FnMut(&str, Effect),
    ) -> bool {
        if page.next.is_before(self.position) {
            return false;
        }
        if page.next != Position::default() {
            self.position = page.next;
        }
        if page.is_complete {
            for id in self.missing(&page.changes) {
                let effect = self.remove(&id, now);
                on_effect(&id, effect);
            }
        }
        for change in page.changes {
            let effect = match change.value {
                Some(Ok(record)) => self.update(&change.key, record, now),
                Some(Err(_)) => self.mark_unreadable(&change.key),
                None => self.remove(&change.key, now),
            };
            on_effect(&change.key, effect);
        }
        self.rebuild();
        true
    }

    /// Takes the new incarnations that are to be confirmed by a health check, with their services.
    pub fn take_unconfirmed(&mut self) -> Vec<(Arc<Server>, String)> {
        std::mem::take(&mut self.unconfirmed)
    }

    /// When the next server whose record went during an outage is removed.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.entries.values().filter_map(|it| it.retained_until).min()
    }

    /// Removes servers that were retained until `now` and entries that expired;
    /// `on_effect` is called for each server that is removed.
    pub fn expire(&mut self, now: Instant, mut on_effect: impl FnMut(&str, Effect)) {
        let mut has_changed = false;
        for (id, it) in &mut self.entries {
            if it.retained_until.is_some_and(|until| now >= until) {
                it.retained_until = None;
                if let Some(server) = it.server.take() {
                    server.mark_gone();
                }
                has_changed = true;
                self.revision += 1;
                it.revision = self.revision;
                on_effect(id, Effect::Left);
            }
        }
        let is_old = |it: &Entry| it.gone.is_some_and(|at| now >= at + RETENTION_TIME);
        let is_expired = |it: &Entry| is_old(it) && !it.stated.backoff.holds(now);
        let removed = self.entries.values().filter(|it| is_expired(it)).map(|it| it.revision).max();
        self.removed_revision = self.removed_revision.max(removed.unwrap_or(0));
        self.entries.retain(|_, it| !is_expired(it));
        if !self.leaving.is_empty() {
            let known: HashSet<u64> = self.incarnations(|_| true).collect();
            self.leaving.remove_expired(now, |it| known.contains(&it));
        }
        if has_changed {
            self.rebuild();
        }
    }

    /// Takes in that the incarnation `incarnation` of a server said at `at` that it leaves.
    /// Returns the server that takes no new work from now on; `None` if this was known, or
    /// while the server itself is not.
    pub fn state_leaving(
        &mut self,
        incarnation: u64,
        at: Instant,
        now: Instant,
    ) -> Option<Arc<Server>> {
        if !self.leaving.insert(incarnation, at, now) {
            return None;
        }
        let mut servers = self.entries.values().filter_map(|it| it.server.as_ref());
        let server = servers.find(|it| it.incarnation() == incarnation).cloned()?;
        server.mark_stated_leaving();
        self.rebuild();
        Some(server)
    }

    /// Servers that said that they leave, as long as they have records, and shortly after this
    /// router learnt of it: the incarnation, when it said so, and whether it is news.
    pub fn leaving_statements(&self, now: Instant) -> impl Iterator<Item = (u64, Instant, bool)> {
        let present: HashSet<u64> = match self.leaving.is_empty() {
            true => HashSet::new(),
            false => self.incarnations(|it| it.gone.is_none()).collect(),
        };
        let all = self.leaving.all(now);
        all.filter(move |(incarnation, _, is_news)| *is_news || present.contains(incarnation))
    }

    /// Services and software versions of the servers that have records.
    pub(super) fn present_software(&self) -> impl Iterator<Item = (&str, u64)> {
        let present = self.entries.values().filter(|it| it.gone.is_none());
        present.map(|it| (it.record.service.as_str(), it.record.software.key()))
    }

    fn incarnations(&self, filter: impl Fn(&Entry) -> bool) -> impl Iterator<Item = u64> {
        let entries = self.entries.iter().filter(move |(_, it)| filter(it));
        entries.map(|(id, it)| combine(hash_bytes(id.as_bytes()), it.record.born))
    }

    fn missing(&self, present: &[Change<ServerRecord>]) -> Vec<String> {
        let listed: HashSet<&str> = present.iter().map(|it| it.key.as_str()).collect();
        let existing = self.entries.iter().filter(|(_, it)| it.gone.is_none());
        existing.filter(|(id, _)| !listed.contains(id.as_str())).map(|(id, _)| id.clone()).collect()
    }

    fn update(&mut self, id: &str, record: ServerRecord, now: Instant) -> Effect {
        let former = self.entries.get(id);
        if former.is_some_and(|it| !record.is_newer_than(&it.record) && it.gone.is_some()) {
            return Effect::None;
        }
        if former.is_some_and(|it| it.record.is_newer_than(&record)) {
            return Effect::None;
        }
        let former = self.entries.remove(id);
        let revision = match &former {
            Some(it) if it.is_heartbeat(&record) => it.revision,
            _ => self.next_revision(),
        };
        let known = former.as_ref().and_then(|it| it.server.clone());
        let known = known.filter(|it| it.matches(&record));
        let is_new = known.is_none();
        let server = known.unwrap_or_else(|| self.new_server(id, &record, former.as_ref(), now));
        if former.as_ref().is_none_or(|it| record.is_newer_than(&it.record)) {
            server.extend_cold(record.warm_up, now);
        }
        let was_leaving = server.is_leaving();
        if record.state == ServerState::Leaving {
            server.mark_leaving();
        }
        if self.leaving.contains(server.incarnation()) {
            server.mark_stated_leaving();
        }
        let has_left = server.is_leaving() && !was_leaving;
        let stated = Arc::clone(&server.stated);
        let entry = Entry {
            record,
            stated,
            server: Some(server),
            gone: None,
            retained_until: None,
            revision,
        };
        self.entries.insert(id.to_owned(), entry);
        match (has_left, is_new) {
            (true, _) => Effect::Left,
            (false, true) => Effect::Joined,
            (false, false) => Effect::None,
        }
    }

    /// The server that `record` describes, with what is known of its incarnation from `former`.
    fn new_server(
        &mut self,
        id: &str,
        record: &ServerRecord,
        former: Option<&Entry>,
        now: Instant,
    ) -> Arc<Server> {
        let server = Server::new(id, record);
        let Some(former) = former else {
            return Arc::new(server);
        };
        if former.record.born == record.born {
            return Arc::new(server.with_condition(Arc::clone(&former.stated)));
        }
        let last = combine(server.hash, former.record.born);
        let is_clear = !former.stated.is_unconfirmed()
            && !self.leaving.contains(last)
            && !former.stated.backoff.holds(now);
        if is_clear {
            return Arc::new(server);
        }
        let server = Arc::new(server.with_condition(Arc::new(StatedCondition::unconfirmed())));
        self.unconfirmed.push((Arc::clone(&server), record.service.clone()));
        server
    }

    fn next_revision(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    fn mark_unreadable(&mut self, id: &str) -> Effect {
        let revision = self.next_revision();
        if let Some(it) = self.entries.get_mut(id) {
            it.server = None;
            it.revision = revision;
        }
        Effect::Unreadable
    }

    fn remove(&mut self, id: &str, now: Instant) -> Effect {
        let retained_until = self.reappear_until.filter(|until| now < *until);
        let revision = self.next_revision();
        let Some(it) = self.entries.get_mut(id) else {
            return Effect::None;
        };
        if it.gone.is_some() {
            return Effect::None;
        }
        it.gone = Some(now);
        it.revision = revision;
        if retained_until.is_some() && it.server.as_ref().is_some_and(|it| !it.is_leaving()) {
            it.retained_until = retained_until;
            return Effect::Retained;
        }
        let Some(server) = it.server.take() else {
            return Effect::Gone;
        };
        let had_left = server.is_leaving();
        server.mark_gone();
        if had_left { Effect::Gone } else { Effect::Left }
    }

    pub(super) fn rebuild(&mut self) {
        let mut services: HashMap<String, Vec<Arc<Server>>> = HashMap::new();
        self.evacuated.by_service.clear();
        for it in self.entries.values() {
            let Some(server) = it.server.as_ref().filter(|it| !it.is_leaving()) else {
                continue;
            };
            let by_service = match self.evacuated.contains(server) {
                true => &mut self.evacuated.by_service,
                false => &mut services,
            };
            by_service.entry(it.record.service.clone()).or_default().push(Arc::clone(server));
        }
        for it in services.values_mut() {
            it.sort_by_key(|it| it.hash);
        }
        self.services = services.into_iter().map(|(name, it)| (name, it.into())).collect();
        self.mark_registered();
    }
}
