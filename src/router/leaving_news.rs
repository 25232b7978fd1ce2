//! What routers tell each other of backend servers that say that they leave.

use std::time::Instant;

use crate::relay::Relay;
use crate::router::news::select_news;
use crate::wire::{WireServerLeaving, age_ms, time_of_age};

/// The statements that this router tells others.
pub(crate) fn leaving_news(relay: &Relay, now: Instant) -> Vec<WireServerLeaving> {
    let servers = relay.servers.lock().unwrap();
    let rows = servers.leaving_statements(now).map(|(incarnation, at, is_news)| {
        (WireServerLeaving(incarnation, age_ms(at, now)), is_news)
    });
    select_news(rows)
}

/// Merges the statements that another router tells.
pub(crate) fn merge_leaving(relay: &Relay, statements: &[WireServerLeaving], now: Instant) {
    for WireServerLeaving(incarnation, age) in statements {
        let at = time_of_age(*age, now).unwrap_or(now);
        relay.merge_stated_leaving(*incarnation, at, now);
    }
}
