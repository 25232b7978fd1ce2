//! What routers tell each other of the limits that backend servers name.

use std::collections::HashMap;
use std::time::Instant;

use crate::relay::Relay;
use crate::router::news::select_news;
use crate::servers::LimitStatement;
use crate::wire::{WireServerLimit, age_ms, time_of_age};

/// The limits that this router tells others.
pub(crate) fn limit_news(relay: &Relay, now: Instant) -> Vec<WireServerLimit> {
    let servers = relay.servers.lock().unwrap();
    let rows = servers.all().filter_map(|it| {
        let (statement, is_news) = it.limit_statement(now)?;
        let age = age_ms(statement.at, now);
        Some((WireServerLimit(it.incarnation(), statement.limit, age), is_news))
    });
    select_news(rows)
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
        let at = time_of_age(*age, now).filter(|_| is_valid);
        if let (Some(server), Some(at)) = (by_incarnation.get(incarnation), at) {
            relay.merge_limit(server, LimitStatement { limit: *limit, at }, now);
        }
    }
}
