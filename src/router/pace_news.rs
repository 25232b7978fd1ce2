//! What routers tell each other of the pace of backend servers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::decide::PaceReport;
use crate::relay::Relay;
use crate::wire::{ToldPace, pack_paces, unpack_paces};

/// Limit on the age of the reports that are told.
const MAX_AGE: Duration = Duration::from_secs(2);
/// Limit on the reports in one message.
const MAX_PACES: usize = 16;

/// The newest reports that servers made to this router, packed. What other routers told is not
/// passed on, so that no report comes back as a new one.
pub(crate) fn pace_news(relay: &Relay, now: Instant) -> Vec<u8> {
    let servers = relay.servers.lock().unwrap();
    let told = servers.all().filter_map(|it| {
        let PaceReport { factor, at } = it.pace.own_report()?;
        let age = now.saturating_duration_since(at);
        (age <= MAX_AGE).then_some(ToldPace { server: it.hash as u32, factor, age })
    });
    let mut told: Vec<ToldPace> = told.collect();
    told.sort_unstable_by_key(|it| it.age);
    told.truncate(MAX_PACES);
    pack_paces(told)
}

/// Merges the reports that another router tells. Those of unknown servers, and those that no
/// server can have made, are skipped.
pub(crate) fn merge_paces(relay: &Relay, paces: &[u8], now: Instant) {
    if paces.is_empty() {
        return;
    }
    let servers = relay.servers.lock().unwrap();
    let by_hash: HashMap<u32, _> = servers.all().map(|it| (it.hash as u32, it)).collect();
    for ToldPace { server, factor, age } in unpack_paces(paces).take(MAX_PACES) {
        let at = now.checked_sub(age).filter(|_| age <= MAX_AGE);
        let report = at.and_then(|at| PaceReport::new(factor, at));
        if let Some((server, report)) = by_hash.get(&server).zip(report) {
            server.pace.merge(report);
        }
    }
}
