//! One version of all rules.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::rules::{Organisation, RequestLimits, Route, Service};

key! {
    /// Why the rules deny a request.
    pub enum Denied {
        /// No route matches the host and path.
        NoRoute,
        /// The key belongs to no organisation.
        NoOrganisation,
    }
}

/// A complete version of the rules.
#[derive(Debug, Clone, Default)]
pub struct RuleSet {
    /// Increases with each change.
    pub version: u64,
    /// By host, then by prefix.
    routes: HashMap<String, HashMap<String, Arc<Route>>>,
    services: HashMap<String, Service>,
    /// Shortest objective of each rank, by service. Invariant: consistent with `routes`.
    objectives: HashMap<String, SmallVec<[(u8, Duration); 4]>>,
    /// By key; absent when callers need no key.
    organisations: Option<HashMap<String, Arc<Organisation>>>,
    /// Limits on requests.
    pub limits: RequestLimits,
}

impl RuleSet {
    /// An empty set of `version`.
    pub fn new(version: u64, limits: RequestLimits) -> RuleSet {
        RuleSet { version, limits, ..RuleSet::default() }
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: Route) {
        for target in &route.targets {
            let ranks = self.objectives.entry(target.service.clone()).or_default();
            match ranks.iter_mut().find(|(rank, _)| *rank == route.priority) {
                Some((_, min)) => *min = route.objective.min(*min),
                None => ranks.push((route.priority, route.objective)),
            }
        }
        let host = self.routes.entry(route.host.clone()).or_default();
        host.insert(route.prefix.clone(), Arc::new(route));
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: Service) {
        self.services.insert(service.name.clone(), service);
    }

    /// Makes requests need the key of an organisation.
    pub fn require_keys(&mut self) {
        self.organisations.get_or_insert_default();
    }

    /// Adds an organisation that any of `keys` identifies.
    pub fn add_organisation(
        &mut self,
        organisation: Organisation,
        keys: impl IntoIterator<Item = String>,
    ) {
        let it = Arc::new(organisation);
        let all = self.organisations.get_or_insert_default();
        all.extend(keys.into_iter().map(|key| (key, Arc::clone(&it))));
    }

    /// The route of `host` whose prefix is the longest one of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        slashes.map(|(at, _)| &path[..=at]).find_map(|prefix| routes.get(prefix))
    }

    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Names of the services whose backend servers are model engines.
    pub fn engine_services(&self) -> impl Iterator<Item = &str> {
        let engines = self.services.values().filter(|it| it.engine.is_some());
        engines.map(|it| it.name.as_str())
    }

    /// Shortest objective of all routes to `service` that are at least as urgent as
    /// `rank`. Less urgent requests must not find free capacity where a more urgent
    /// one finds none.
    pub fn min_objective(&self, service: &str, rank: u8) -> Option<Duration> {
        let ranks = self.objectives.get(service)?;
        let urgent = ranks.iter().filter(|(other, _)| *other <= rank);
        urgent.map(|(_, objective)| *objective).min()
    }

    /// Whether requests on `route` need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.organisations.is_some() && !route.public
    }

    /// The organisation that holds `key`.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.organisations.as_ref()?.get(key)
    }

    /// The route of a request and its organisation, if the rules allow the request.
    ///
    /// # Errors
    /// Fails when no route matches, or when a key is needed and belongs to no organisation.
    pub fn allow(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(&Arc<Route>, Option<&Arc<Organisation>>), Denied> {
        let route = self.route(host, path).ok_or(Denied::NoRoute)?;
        let organisation = key.and_then(|it| self.organisation(it));
        if organisation.is_none() && self.needs_key(route) {
            return Err(Denied::NoOrganisation);
        }
        Ok((route, organisation))
    }
}
