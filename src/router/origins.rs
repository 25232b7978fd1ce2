//! Tells other routers which software versions began streams, so that a stream goes on at its
//! version after its router is gone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::{info, warn};
use smallvec::SmallVec;
use tokio::time::sleep;

use crate::decide::hash_bytes;
use crate::events::Code;
use crate::relay::StreamOrigin;
use crate::router::{Router, Store};
use crate::wire::{WireStreamOrigin, WireStreamOrigins};

/// Pause between two times at which other routers are told of streams that began.
const TELL_INTERVAL: Duration = Duration::from_millis(250);
/// Number of other routers that are told of each stream.
const REPLICAS: usize = 2;
/// Streams in one message.
const MAX_ROWS: usize = 1_000;

/// Tells other routers of streams that began, for ever, while several software versions serve
/// in a service or a restored store may not say so. Each stream is told to the first routers in
/// its rendezvous order.
pub(crate) async fn tell_origins<S: Store>(router: Arc<Router<S>>) {
    loop {
        sleep(TELL_INTERVAL).await;
        let services = told_services(&router);
        if services.is_empty() || !has_peers(&router) {
            continue;
        }
        let origins = router.relay.origins.lock().unwrap().take_untold(&services);
        for (peer, origins) in by_replica(&router, &origins) {
            tokio::spawn(tell(Arc::clone(&router), peer, origins));
        }
    }
}

/// Hashes of the names of the services whose streams other routers are told of.
fn told_services<S: Store>(router: &Router<S>) -> SmallVec<[u64; 4]> {
    let now = router.relay.clock().now();
    let servers = router.relay.servers.lock().unwrap();
    servers.told_services(now).map(|it| hash_bytes(it.as_bytes())).collect()
}

/// Hashes of the names of the services with several software versions.
pub(crate) fn mixed_services<S: Store>(router: &Router<S>) -> SmallVec<[u64; 4]> {
    let servers = router.relay.servers.lock().unwrap();
    servers.mixed_services().map(|it| hash_bytes(it.as_bytes())).collect()
}

fn has_peers<S: Store>(router: &Router<S>) -> bool {
    let now = router.relay.clock().now();
    router.peers.lock().unwrap().alive_count(now) > 0
}

/// `origins` by the routers that are to be told of them.
fn by_replica<S: Store>(
    router: &Router<S>,
    origins: &[StreamOrigin],
) -> Vec<(SocketAddr, Vec<StreamOrigin>)> {
    let now = router.relay.clock().now();
    let peers = router.peers.lock().unwrap();
    let mut all: Vec<(SocketAddr, Vec<StreamOrigin>)> = Vec::new();
    for origin in origins {
        for (_, peer) in peers.ranked_alive(origin.stream, now).take(REPLICAS) {
            match all.iter_mut().find(|(it, rows)| *it == peer && rows.len() < MAX_ROWS) {
                Some((_, rows)) => rows.push(*origin),
                None => all.push((peer, vec![*origin])),
            }
        }
    }
    all
}

async fn tell<S: Store>(router: Arc<Router<S>>, peer: SocketAddr, origins: Vec<StreamOrigin>) {
    let now = router.relay.clock().now();
    let rows = origins.iter().map(|it| to_wire(it, now)).collect();
    let message = WireStreamOrigins { origins: rows };
    if let Err(e) = router.client.tell_origins(peer, &message).await {
        let code = Code::OriginsUntold;
        info!(router.logger, "{}", code.text();
            "event" => code.number(), "peer" => %peer, "count" => origins.len(), "error" => %e);
        router.relay.origins.lock().unwrap().record_untold(&origins);
    }
}

/// The stream of a message or record that was received at `now`.
pub(crate) fn from_wire(wire: &WireStreamOrigin, now: Instant) -> StreamOrigin {
    let WireStreamOrigin(stream, software, remaining_ms) = *wire;
    let remaining = Duration::from_millis(remaining_ms.into()).min(StreamOrigin::MAX_TIME);
    StreamOrigin { stream, software, deadline: now + remaining }
}

/// The form of a stream in messages and records that are sent at `now`.
pub(crate) fn to_wire(origin: &StreamOrigin, now: Instant) -> WireStreamOrigin {
    let remaining = origin.deadline.saturating_duration_since(now).as_millis();
    WireStreamOrigin(origin.stream, origin.software, remaining.try_into().unwrap_or(u32::MAX))
}

/// Merges streams that began at another router.
pub(crate) fn merge_origins<S: Store>(router: &Router<S>, streams: &[WireStreamOrigin]) {
    let now = router.relay.clock().now();
    let mut origins = router.relay.origins.lock().unwrap();
    let mut dropped: usize = 0;
    for it in streams {
        dropped += usize::from(!origins.merge(from_wire(it, now), now));
    }
    if dropped > 0 {
        warn!(router.logger, "streams of other routers are not stored, as there are too many";
            "event" => Code::OriginsUntold.number(), "count" => dropped, "known" => origins.len());
    }
}
