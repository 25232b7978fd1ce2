//! The software versions at which streams may begin.

use std::collections::{HashMap, HashSet};

use smallvec::SmallVec;

use crate::decide::{combine, hash_bytes};
use crate::wire::WireProcess;

key! {
    /// A process of a router.
    #[derive(Default)]
    pub struct RouterProcess {
        /// Hash of the router's name.
        pub router: u64,
        /// When the process started, in milliseconds since 1970.
        pub born: u64,
    }

    /// Who may begin streams at a software version.
    pub enum Registration {
        /// All routers.
        Shared,
        /// One process, besides others with registrations of their own.
        Process(RouterProcess),
    }
}

plain! {
    /// A registration that is to be written to the store.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct DueRegistration {
        /// Name of the service.
        pub service: String,
        /// Key of the version.
        pub software: u64,
        /// Who may begin streams at it then.
        pub registration: Registration,
    }
}

/// Versions of services that the platform's store has records of.
///
/// A version is registered before a stream begins at it: for all routers where it is the only one
/// of its service, else by each process for itself. So a router that reads the store after a stream
/// broke off knows all versions that may have begun it, and who may have done so.
#[derive(Debug, Default)]
pub(crate) struct RegisteredSoftware {
    shared: HashSet<u64>,
    /// Versions in `shared` at which no stream begins until they are registered anew.
    unconfirmed: HashSet<u64>,
    processes: HashMap<u64, SmallVec<[RouterProcess; 4]>>,
    /// Registrations in `processes` that the store may have lost: streams may have begun there, and
    /// none begins until the process has registered anew.
    lost: HashSet<(u64, RouterProcess)>,
}

impl RegisteredSoftware {
    /// Identifies the version `software` of `service`, equal at all routers.
    pub fn key(service: &str, software: u64) -> u64 {
        combine(hash_bytes(service.as_bytes()), software)
    }

    /// Notes a registration of the version with the key `key`; false if it was known.
    pub fn insert(&mut self, key: u64, registration: Registration) -> bool {
        match registration {
            Registration::Shared => self.shared.insert(key) | self.unconfirmed.remove(&key),
            Registration::Process(process) => {
                let processes = self.processes.entry(key).or_default();
                let is_new = !processes.contains(&process);
                if is_new {
                    processes.push(process);
                }
                is_new | self.lost.remove(&(key, process))
            }
        }
    }

    /// Notes that a registration is gone.
    pub fn remove(&mut self, key: u64, registration: Registration) {
        match registration {
            Registration::Shared => {
                self.shared.remove(&key);
                self.unconfirmed.remove(&key);
            }
            Registration::Process(process) => {
                if let Some(processes) = self.processes.get_mut(&key) {
                    processes.retain(|it| *it != process);
                }
                self.lost.remove(&(key, process));
            }
        }
    }

    /// Withdraws the right of `process` to begin streams at the version with the key `key`, until
    /// it is registered anew. Others may have begun streams there, so that their registrations stay.
    pub fn withdraw(&mut self, key: u64, process: RouterProcess) {
        self.remove(key, Registration::Process(process));
        if self.shared.contains(&key) {
            self.unconfirmed.insert(key);
        }
    }

    /// Notes that the store may have lost this registration: it tells where streams may have begun,
    /// and allows none to begin.
    pub fn insert_lost(&mut self, key: u64, registration: Registration) {
        self.insert(key, registration);
        match registration {
            Registration::Shared => drop(self.unconfirmed.insert(key)),
            Registration::Process(process) => drop(self.lost.insert((key, process))),
        }
    }

    /// Notes that the store may have lost all registrations.
    pub fn mark_lost(&mut self) {
        self.unconfirmed = self.shared.clone();
        let all = self.processes.iter();
        self.lost = all.flat_map(|(key, all)| all.iter().map(|it| (*key, *it))).collect();
    }

    /// Forgets the registrations of processes that the store may have lost.
    pub fn forget_lost(&mut self) {
        for (key, process) in std::mem::take(&mut self.lost) {
            self.remove(key, Registration::Process(process));
        }
    }

    /// Whether the version with the key `key` is registered for all routers.
    pub fn is_shared(&self, key: u64) -> bool {
        self.shared.contains(&key)
    }

    /// Whether `process` may begin streams at the version with the key `key`.
    pub fn allows(&self, key: u64, process: RouterProcess) -> bool {
        let is_shared = self.shared.contains(&key) && !self.unconfirmed.contains(&key);
        let is_own = self.processes(key).contains(&process);
        is_shared || is_own && !self.lost.contains(&(key, process))
    }

    /// The processes that registered the version with the key `key` for themselves.
    pub fn processes(&self, key: u64) -> &[RouterProcess] {
        self.processes.get(&key).map_or(&[], |it| it.as_slice())
    }

    /// Keys of the versions at which all routers may begin streams.
    pub fn shared(&self) -> impl Iterator<Item = u64> {
        self.shared.difference(&self.unconfirmed).copied()
    }

    /// All registrations, with the keys of the versions.
    pub fn all(&self) -> impl Iterator<Item = (u64, Registration)> {
        let shared = self.shared.iter().map(|key| (*key, Registration::Shared));
        let processes = self
            .processes
            .iter()
            .flat_map(|(key, all)| all.iter().map(move |it| (*key, Registration::Process(*it))));
        shared.chain(processes)
    }
}

impl From<WireProcess> for RouterProcess {
    fn from(WireProcess(router, born): WireProcess) -> RouterProcess {
        RouterProcess { router, born }
    }
}

impl From<RouterProcess> for WireProcess {
    fn from(it: RouterProcess) -> WireProcess {
        WireProcess(it.router, it.born)
    }
}

impl From<Option<WireProcess>> for Registration {
    fn from(it: Option<WireProcess>) -> Registration {
        it.map_or(Registration::Shared, |it| Registration::Process(it.into()))
    }
}

impl From<Registration> for Option<WireProcess> {
    fn from(it: Registration) -> Option<WireProcess> {
        match it {
            Registration::Shared => None,
            Registration::Process(process) => Some(process.into()),
        }
    }
}
