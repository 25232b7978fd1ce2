//! Which software versions served in each service lately.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long a version counts after it was last seen: longer than callers wait for a stream.
pub(crate) const HISTORY_TIME: Duration = Duration::from_secs(120);
/// A version that was not seen for this long is registered again before it is used, as other
/// routers may be about to remove its record from the store.
const MAX_ABSENCE: Duration = Duration::from_secs(60);

key! {
    /// The software versions of a service.
    pub enum ServiceSoftware {
        /// No server was seen.
        None,
        /// Only the version with this key was seen.
        One(u64),
        /// Several versions were seen.
        Several,
    }
}

/// A version that was seen in a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenSoftware {
    /// Name of the service.
    pub service: String,
    /// Key of the version.
    pub software: u64,
    /// When it was last seen.
    pub at: Instant,
}

/// When the versions of each service were last seen.
#[derive(Debug, Default)]
pub(crate) struct SoftwareHistory {
    services: HashMap<String, HashMap<u64, Instant>>,
}

impl SoftwareHistory {
    /// Notes that the version `software` was seen in `service` at `at`; false if it was not seen
    /// for a long time before.
    pub fn record(&mut self, service: &str, software: u64, at: Instant) -> bool {
        let versions = match self.services.get_mut(service) {
            Some(it) => it,
            None => self.services.entry(service.to_owned()).or_default(),
        };
        let seen = versions.entry(software).or_insert(at);
        let absence = at.saturating_duration_since(*seen);
        *seen = at.max(*seen);
        absence < MAX_ABSENCE
    }

    /// Whether the version `software` was seen in `service` lately.
    pub fn contains(&self, service: &str, software: u64) -> bool {
        self.services.get(service).is_some_and(|it| it.contains_key(&software))
    }

    /// All versions that were seen lately, with their services.
    pub fn versions(&self) -> impl Iterator<Item = (&str, u64)> {
        let all = self.services.iter();
        all.flat_map(|(service, it)| it.keys().map(move |software| (service.as_str(), *software)))
    }

    /// The versions of `service`.
    pub fn of_service(&self, service: &str) -> ServiceSoftware {
        let mut versions = self.services.get(service).into_iter().flat_map(|it| it.keys());
        match (versions.next(), versions.next()) {
            (None, _) => ServiceSoftware::None,
            (Some(software), None) => ServiceSoftware::One(*software),
            (Some(_), Some(_)) => ServiceSoftware::Several,
        }
    }

    /// The versions of `service` that were seen lately.
    pub fn of(&self, service: &str) -> impl Iterator<Item = u64> {
        self.services.get(service).into_iter().flat_map(|it| it.keys().copied())
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    /// Services with several versions.
    pub fn mixed(&self) -> impl Iterator<Item = &str> {
        self.services.iter().filter(|(_, it)| it.len() > 1).map(|(service, _)| service.as_str())
    }

    /// The versions of the services that have several.
    pub fn seen(&self) -> impl Iterator<Item = SeenSoftware> {
        let mixed = self.services.iter().filter(|(_, it)| it.len() > 1);
        mixed.flat_map(|(service, versions)| {
            versions.iter().map(|(software, at)| SeenSoftware {
                service: service.clone(),
                software: *software,
                at: *at,
            })
        })
    }

    /// Removes versions that were last seen long ago.
    pub fn remove_expired(&mut self, now: Instant) {
        for versions in self.services.values_mut() {
            versions.retain(|_, at| now.saturating_duration_since(*at) < HISTORY_TIME);
        }
        self.services.retain(|_, it| !it.is_empty());
    }
}
