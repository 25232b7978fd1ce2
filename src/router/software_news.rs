//! What routers tell each other of the software versions that served lately.

use std::time::Instant;

use crate::relay::Relay;
use crate::servers::SeenSoftware;
use crate::wire::{WireSeenSoftware, age_ms, time_of_age};

/// Limit on the versions in one message.
const MAX_VERSIONS: usize = 32;

/// The versions of services that have several.
pub(crate) fn software_news(relay: &Relay, now: Instant) -> Vec<WireSeenSoftware> {
    let servers = relay.servers.lock().unwrap();
    let wire = |it: SeenSoftware| WireSeenSoftware(it.service, it.software, age_ms(it.at, now));
    servers.seen_software().take(MAX_VERSIONS).map(wire).collect()
}

/// Merges the versions that another router tells.
pub(crate) fn merge_software(relay: &Relay, versions: Vec<WireSeenSoftware>, now: Instant) {
    if versions.is_empty() {
        return;
    }
    let mut servers = relay.servers.lock().unwrap();
    for WireSeenSoftware(service, software, age) in versions.into_iter().take(MAX_VERSIONS) {
        // At an unknown time: it counts as seen now, which refuses rather than mixes.
        let at = time_of_age(age, now).unwrap_or(now);
        servers.merge_software(&SeenSoftware { service, software, at }, now);
    }
}
