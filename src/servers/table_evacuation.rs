//! Which backend servers take no work because their failure domains are evacuated.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::servers::{Server, ServerTable};

/// The evacuated failure domains, and their servers.
#[derive(Debug, Default)]
pub(super) struct EvacuatedServers {
    domains: BTreeSet<String>,
    /// Servers that would take work otherwise, by service.
    pub by_service: HashMap<String, Vec<Arc<Server>>>,
}

impl EvacuatedServers {
    /// Whether `server` is in an evacuated domain.
    pub fn contains(&self, server: &Server) -> bool {
        self.domains.contains(&*server.domain)
    }
}

impl ServerTable {
    /// Sets the failure domains whose servers take no work.
    pub fn set_evacuated(&mut self, domains: &BTreeSet<String>) {
        self.evacuated.domains.clone_from(domains);
        self.rebuild();
    }

    /// Whether all servers of `service` that would take work are in evacuated domains.
    pub fn is_evacuated(&self, service: &str) -> bool {
        !self.services.contains_key(service) && self.evacuated.by_service.contains_key(service)
    }

    /// Services of which that holds.
    pub fn evacuated_services(&self) -> impl Iterator<Item = &str> {
        let all = self.evacuated.by_service.keys();
        all.filter(|it| !self.services.contains_key(*it)).map(String::as_str)
    }

    /// Number of servers that take no work because their domains are evacuated.
    pub fn evacuated_count(&self) -> usize {
        self.evacuated.by_service.values().map(Vec::len).sum()
    }
}
