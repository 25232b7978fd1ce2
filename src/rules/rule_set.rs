//! One version of everything that operators have set.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::rules::{Organisation, RequestLimits, Route, Service};

key! {
    /// Why the rules do not allow a request.
    pub enum Denied {
        /// No route has this host and path.
        NoRoute,
        /// The key belongs to no organisation.
        NoOrganisation,
    }
}

/// A whole configuration.
#[derive(Debug, Clone, Default)]
pub struct RuleSet {
    /// Rises with each change.
    pub version: u64,
    /// By host, then by prefix.
    routes: HashMap<String, HashMap<String, Arc<Route>>>,
    services: HashMap<String, Service>,
    /// Shortest objective of each rank, by service. Invariant: agrees with `routes`.
    objectives: HashMap<String, SmallVec<[(u8, Duration); 4]>>,
    /// By key; absent when callers need none.
    organisations: Option<HashMap<String, Arc<Organisation>>>,
    /// Bounds on requests.
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
                Some((_, shortest)) => *shortest = route.objective.min(*shortest),
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

    /// From now on requests need the key of an organisation.
    pub fn require_keys(&mut self) {
        self.organisations.get_or_insert_default();
    }

    /// Adds an organisation that is known by any of `keys`.
    pub fn add_organisation(
        &mut self,
        organisation: Organisation,
        keys: impl IntoIterator<Item = String>,
    ) {
        let it = Arc::new(organisation);
        let all = self.organisations.get_or_insert_default();
        all.extend(keys.into_iter().map(|key| (key, Arc::clone(&it))));
    }

    /// The route with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        let ends = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        ends.map(|(at, _)| &path[..=at]).find_map(|prefix| routes.get(prefix))
    }

    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Shortest objective of all routes to `service` that are as urgent as `rank` or
    /// more; a less urgent request must not find room where a more urgent one finds none.
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

    /// How a request is allowed: its route, and its organisation where one is needed.
    ///
    /// # Errors
    /// Tells what is missing.
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
