//! Probes the backend servers of services from which this router is or may be cut off.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use rand::seq::IndexedRandom;
use tokio::time::sleep;

use crate::relay::Connection;
use crate::router::{Router, Store};

/// Pause between two probes of a service.
const PROBE_PAUSE: Duration = Duration::from_millis(250);
/// Servers that are probed at the same time. Most of them must be reached for a cut to end, as a
/// single one may be reached throughout, and some while a whole failure domain is gone.
const PROBED_SERVERS: usize = 7;

/// Opens connections to servers of services from which this router is or may be cut off, for
/// ever. No request of a service that is cut off is sent there before they succeed.
pub(crate) async fn watch_reach<S: Store>(router: Arc<Router<S>>) {
    loop {
        let services = router.relay.probed_services();
        if services.is_empty() {
            router.relay.probe_now.notified().await;
            continue;
        }
        join_all(services.iter().map(|it| probe(&router, it))).await;
        sleep(PROBE_PAUSE).await;
    }
}

async fn probe<S: Store>(router: &Router<S>, service: &str) {
    let servers = router.relay.of_service(service);
    let now = router.relay.clock().now();
    let chosen = servers.choose_multiple(&mut rand::rng(), PROBED_SERVERS);
    let mut opened: FuturesUnordered<_> =
        chosen.map(|it| Connection::open(it.address, now)).collect();
    let probed = opened.len();
    let mut reached = 0;
    // Servers that are silent need not be awaited once most of the others are reached.
    while reached * 2 <= probed
        && let Some(result) = opened.next().await
    {
        reached += usize::from(result.is_ok());
    }
    router.relay.record_probes(service, reached, probed);
}
