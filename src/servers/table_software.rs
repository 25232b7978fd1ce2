//! The software versions of the services: which served lately, and at which streams may begin.

use std::collections::HashSet;
use std::time::Instant;

use smallvec::{SmallVec, smallvec};

use crate::servers::restoration::Restoration;
use crate::servers::{
    DueRegistration, RegisteredSoftware, Registration, RouterProcess, SeenSoftware, ServerTable,
    ServiceSoftware,
};

impl ServerTable {
    /// Notes which software versions serve; true if a service has several and had one before.
    pub fn record_software(&mut self, now: Instant) -> bool {
        let before = self.software.mixed().count();
        let mut returned = false;
        let present: HashSet<(&str, u64)> = self.present_software().collect();
        let present: Vec<(String, u64)> =
            present.into_iter().map(|(service, it)| (service.to_owned(), it)).collect();
        for (service, software) in &present {
            if !self.software.record(service, *software, now) {
                let key = RegisteredSoftware::key(service, *software);
                self.registered.withdraw(key, self.process);
                returned = true;
            }
        }
        self.software.remove_expired(now);
        if self.restoration.is_some_and(|it| !it.is_recent(now)) {
            self.registered.forget_lost();
        }
        if returned {
            self.mark_registered();
        }
        self.software.mixed().count() > before
    }

    /// Sets the process that this table belongs to.
    pub fn set_process(&mut self, process: RouterProcess) {
        self.process = process;
    }

    /// Notes that the platform's store has a registration of the version `software` of `service`,
    /// which may have served until now.
    pub fn register_software(
        &mut self,
        service: &str,
        software: u64,
        registration: Registration,
        now: Instant,
    ) {
        if !self.software.contains(service, software) {
            self.software.record(service, software, now);
        }
        if self.registered.insert(RegisteredSoftware::key(service, software), registration) {
            self.mark_registered();
        }
    }

    /// Notes that another router knows that streams may begin at the versions with these keys.
    pub fn merge_registered(&mut self, keys: &[u64]) {
        let mut has_changed = false;
        for key in keys {
            has_changed |= self.registered.insert(*key, Registration::Shared);
        }
        if has_changed {
            self.mark_registered();
        }
    }

    /// Notes that the store has a registration of the version with the key `key` no more.
    pub fn unregister_software(&mut self, key: u64, registration: Registration) {
        self.registered.remove(key, registration);
        self.mark_registered();
    }

    /// Notes a registration that was written before the store was restored: streams may have begun
    /// at the version, and none begins there until it is registered anew.
    pub fn register_former_software(
        &mut self,
        service: &str,
        software: u64,
        registration: Registration,
        now: Instant,
    ) {
        if !self.software.contains(service, software) {
            self.software.record(service, software, now);
        }
        self.registered.insert_lost(RegisteredSoftware::key(service, software), registration);
        self.mark_registered();
    }

    /// Notes that the store was restored from a copy, which began the state `era`. Its
    /// registrations count as lost. `is_follower`: this process followed the store before.
    pub fn note_restoration(&mut self, era: u64, now: Instant, is_follower: bool) {
        let restoration = Restoration::new(era, now);
        self.merge_restoration(match is_follower {
            true => restoration.live_through(now),
            false => restoration,
        });
        self.registered.mark_lost();
        self.mark_registered();
    }

    /// Notes that another process noticed at `noticed` that a restoration began the state `era`.
    pub fn learn_restoration(&mut self, era: u64, noticed: Instant) {
        self.merge_restoration(Restoration::new(era, noticed));
    }

    fn merge_restoration(&mut self, it: Restoration) {
        self.restoration = Some(self.restoration.map_or(it, |known| known.merge(it)));
    }

    /// When it was noticed that a restoration began the state `era` of the store, if that is known.
    pub fn restored_at(&self, era: u64) -> Option<Instant> {
        let known = self.restoration.filter(|it| it.era() == era);
        known.map(|it| it.noticed())
    }

    /// Services whose streams other routers are to be told of: those with several versions, and all
    /// while the store may lack the registration of another version.
    pub fn told_services(&self, now: Instant) -> impl Iterator<Item = &str> {
        let is_restored = self.restoration.is_some_and(|it| it.is_recent(now));
        let all = self.software.services().filter(move |_| is_restored);
        self.software.mixed().chain(all)
    }

    /// Whether every version that may have begun a stream of `service` is known, or registered in
    /// the store. A restoration may have taken registrations away, with the proof of that.
    pub fn knows_all_software(&self, service: &str, now: Instant) -> bool {
        let Some(restoration) = self.restoration.filter(|it| it.is_recent(now)) else {
            return true;
        };
        let has_one = matches!(self.software.of_service(service), ServiceSoftware::One(_));
        has_one && restoration.knows_versions(now)
    }

    /// Keys of the versions at which all routers may begin streams.
    pub fn registered(&self) -> Vec<u64> {
        self.registered.shared().collect()
    }

    /// Services and versions of servers that take work at which this process may not begin
    /// streams, and what is to be registered for that.
    pub fn unregistered(&self) -> Vec<DueRegistration> {
        let servers =
            self.services.iter().flat_map(|(name, it)| it.iter().map(move |it| (name, it)));
        let unregistered = servers.filter(|(_, it)| !it.is_registered());
        let mut all: Vec<_> = unregistered
            .map(|(service, it)| {
                let software = it.software.key();
                let registration = self.due_registration(service, software);
                DueRegistration { service: service.clone(), software, registration }
            })
            .collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// The only version of a service is registered for all.
    fn due_registration(&self, service: &str, software: u64) -> Registration {
        match self.software.of_service(service) {
            ServiceSoftware::One(it) if it == software => Registration::Shared,
            _ => Registration::Process(self.process),
        }
    }

    /// The versions that may have begun a stream of `service` that no router in `asked` knows:
    /// those that are registered for all, and those that another process registered for itself.
    pub fn possible_software(&self, service: &str, asked: &[RouterProcess]) -> SmallVec<[u64; 2]> {
        let is_possible = |software: &u64| {
            let key = RegisteredSoftware::key(service, *software);
            let processes = self.registered.processes(key);
            let is_asked = |it: &RouterProcess| *it == self.process || asked.contains(it);
            self.registered.is_shared(key) || !processes.iter().all(is_asked)
        };
        match self.software.of_service(service) {
            ServiceSoftware::None => SmallVec::new(),
            ServiceSoftware::One(it) => smallvec![it],
            ServiceSoftware::Several => self.software.of(service).filter(is_possible).collect(),
        }
    }

    /// Other processes that registered versions of `service` for themselves.
    pub fn registered_processes(&self, service: &str) -> Vec<RouterProcess> {
        let keys = self.software.of(service).map(|it| RegisteredSoftware::key(service, it));
        let all = keys.flat_map(|it| self.registered.processes(it));
        let mut all: Vec<_> = all.copied().filter(|it| *it != self.process).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Registrations in the store that are of no use any more: of versions that did not serve
    /// lately, and can have begun no stream that goes on.
    pub fn outdated_registrations(&self) -> Vec<(u64, Registration)> {
        let versions = self.software.versions();
        let recent: HashSet<u64> =
            versions.map(|(service, it)| RegisteredSoftware::key(service, it)).collect();
        self.registered.all().filter(|(key, _)| !recent.contains(key)).collect()
    }

    /// Versions that are the only ones of their services, but not registered for all yet.
    pub fn unshared(&self) -> Vec<DueRegistration> {
        let versions = self.software.versions().filter(|(service, software)| {
            let key = RegisteredSoftware::key(service, *software);
            let is_only = self.software.of_service(service) == ServiceSoftware::One(*software);
            is_only && !self.registered.is_shared(key) && !self.registered.processes(key).is_empty()
        });
        let due = |(service, software): (&str, u64)| DueRegistration {
            service: service.to_owned(),
            software,
            registration: Registration::Shared,
        };
        versions.map(due).collect()
    }

    /// Makes the mark of all servers consistent with the registered versions.
    pub(super) fn mark_registered(&self) {
        for (service, servers) in &self.services {
            for it in servers.iter() {
                let key = RegisteredSoftware::key(service, it.software.key());
                it.set_registered(self.registered.allows(key, self.process));
            }
        }
    }

    /// Notes that another router has seen a software version.
    pub fn merge_software(&mut self, seen: &SeenSoftware, now: Instant) {
        self.software.record(&seen.service, seen.software, seen.at);
        self.software.remove_expired(now);
    }

    /// The software versions that served in `service` lately.
    pub fn software(&self, service: &str) -> ServiceSoftware {
        self.software.of_service(service)
    }

    /// Services in which several software versions served lately.
    pub fn mixed_services(&self) -> impl Iterator<Item = &str> {
        self.software.mixed()
    }

    /// The software versions of the services that have several.
    pub fn seen_software(&self) -> impl Iterator<Item = SeenSoftware> {
        self.software.seen()
    }
}
