//! Reading the events of a fleet.

use std::net::SocketAddr;
use std::time::{Duration, UNIX_EPOCH};

use futures_util::future::join_all;

use crate::backend::RouterClient;
use crate::clock::Clock;
use crate::timeline::Timeline;

/// Reads the events of all `routers` that are not older than `age`; those that
/// do not answer are noted as missing.
pub async fn read(
    client: &RouterClient,
    routers: &[(String, SocketAddr)],
    age: Duration,
    clock: &dyn Clock,
) -> Timeline {
    let calls = routers.iter().map(|(_, addr)| client.timeline(*addr, age));
    let pages = join_all(calls).await;
    let now = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut all = Timeline::default();
    for ((name, _), page) in routers.iter().zip(pages) {
        match page {
            Ok(page) => all.add(page, now.as_micros() as u64),
            Err(e) => all.add_missing(name, &e.to_string()),
        }
    }
    all.add_delisted();
    all
}
