//! What routers tell each other of the limits that backend servers name.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;

use crate::relay::Relay;
use crate::servers::LimitStatement;
use crate::wire::WireServerLimit;

/// Limits of one message: of changes just learnt, and of others, a random selection.
const MAX_NEWS: usize = 32;
const MAX_REPEATED: usize = 8;

/// The limits that this router tells others.
pub(crate) fn limit_news(relay: &Relay, now: Instant) -> Vec<WireServerLimit> {
    let servers = relay.servers.lock().unwrap();
    let (mut news, mut others) = (Vec::new(), Vec::new());
    for it in servers.all() {
        let Some((statement, is_news)) = it.limit_statement(now) else {
            continue;
        };
        let age = now.saturating_duration_since(statement.at).as_millis() as u64;
        let row = WireServerLimit(it.incarnation(), statement.limit, age);
        if is_news { news.push(row) } else { others.push(row) }
    }
    news.truncate(MAX_NEWS);
    let repeated = others.choose_multiple(&mut rand::rng(), MAX_REPEATED).cloned();
    news.into_iter().chain(repeated).collect()
}

/// Merges the limits that another router tells.
pub(crate) fn merge_limits(relay: &Relay, limits: &[WireServerLimit], now: Instant) {
    if limits.is_empty() {
        return;
    }
    let servers: Vec<_> = relay.servers.lock().unwrap().all().cloned().collect();
    let by_incarnation: HashMap<u64, _> = servers.iter().map(|it| (it.incarnation(), it)).collect();
    for WireServerLimit(incarnation, limit, age) in limits {
        let is_valid = limit.is_none_or(|it| it.is_finite() && it >= 0.0);
        let at = now.checked_sub(Duration::from_millis(*age)).filter(|_| is_valid);
        if let (Some(server), Some(at)) = (by_incarnation.get(incarnation), at) {
            relay.merge_limit(server, LimitStatement { limit: *limit, at }, now);
        }
    }
}
