//! Tells other routers which software versions began streams, and asks them, so that a stream
//! goes on at its version after its router is gone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use slog::{info, warn};
use smallvec::SmallVec;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::decide::hash_bytes;
use crate::events::Code;
use crate::relay::{OriginQuery, OriginReplies, StreamOrigin};
use crate::router::{Router, Store};
use crate::wire::{WireOriginQuery, WireOriginReply, WireStreamOrigin, WireStreamOrigins};

/// Pause between two times at which other routers are told of streams that began.
const TELL_INTERVAL: Duration = Duration::from_millis(250);
/// Number of other routers that are told of each stream.
const REPLICAS: usize = 2;
/// Number of other routers that are asked about a stream, at most: more than are told, as
/// routers may know different sets of each other.
const MAX_ASKED: usize = 5;
/// Limit on the reply of one router.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// Streams in one message.
const MAX_ROWS: usize = 1_000;

/// Tells other routers of streams that began, for ever, while several software versions serve
/// in a service. Each stream is told to the first routers in its rendezvous order.
pub(crate) async fn tell_origins<S: Store>(router: Arc<Router<S>>) {
    loop {
        sleep(TELL_INTERVAL).await;
        let services = mixed_services(&router);
        if services.is_empty() || !has_peers(&router) {
            continue;
        }
        let origins = router.relay.origins.lock().unwrap().take_untold(&services);
        for (peer, origins) in by_replica(&router, &origins) {
            tokio::spawn(tell(Arc::clone(&router), peer, origins));
        }
    }
}

/// Hashes of the names of the services with several software versions.
fn mixed_services<S: Store>(router: &Router<S>) -> SmallVec<[u64; 4]> {
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
        let alive = peers.ranked(origin.stream, now).filter(|(_, is_alive)| *is_alive);
        for (peer, _) in alive.take(REPLICAS) {
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
    let rows = origins.iter().map(|it| {
        let remaining = it.deadline.saturating_duration_since(now).as_millis();
        WireStreamOrigin(it.stream, it.software, u32::try_from(remaining).unwrap_or(u32::MAX))
    });
    let message = WireStreamOrigins { origins: rows.collect() };
    if let Err(e) = router.client.tell_origins(peer, &message).await {
        let code = Code::OriginsUntold;
        info!(router.logger, "{}", code.text();
            "event" => code.number(), "peer" => %peer, "count" => origins.len(), "error" => %e);
        router.relay.origins.lock().unwrap().record_untold(&origins);
    }
}

/// Merges the origins that another router tells.
pub(crate) fn merge_origins<S: Store>(router: &Router<S>, message: &WireStreamOrigins) {
    let now = router.relay.clock().now();
    let mut origins = router.relay.origins.lock().unwrap();
    let mut dropped: usize = 0;
    for WireStreamOrigin(stream, software, remaining) in &message.origins {
        let deadline =
            now + Duration::from_millis(u64::from(*remaining)).min(StreamOrigin::MAX_TIME);
        let origin = StreamOrigin { stream: *stream, software: *software, deadline };
        dropped += usize::from(!origins.merge(origin, now));
    }
    if dropped > 0 {
        warn!(router.logger, "streams of other routers are not stored, as there are too many";
            "event" => Code::OriginsUntold.number(), "count" => dropped, "known" => origins.len());
    }
}

/// Answers the questions of the request path, for ever.
pub(crate) async fn answer_queries<S: Store>(
    router: Arc<Router<S>>,
    mut queries: mpsc::Receiver<OriginQuery>,
) {
    while let Some(query) = queries.recv().await {
        tokio::spawn(answer_query(Arc::clone(&router), query));
    }
}

async fn answer_query<S: Store>(router: Arc<Router<S>>, query: OriginQuery) {
    let replies = ask(&router, query.stream, &query.service).await;
    // The request may have ended meanwhile.
    let _ = query.replies.send(replies);
}

/// Asks other routers, until one knows the stream.
async fn ask<S: Store>(router: &Router<S>, stream: u64, service: &str) -> OriginReplies {
    let asked: SmallVec<[SocketAddr; MAX_ASKED]> = {
        let peers = router.peers.lock().unwrap();
        let ranked = peers.ranked(stream, router.relay.clock().now());
        ranked.take(MAX_ASKED).map(|(peer, _)| peer).collect()
    };
    let has_others = !asked.is_empty();
    let question = WireOriginQuery(stream, service.to_owned());
    let calls = asked.into_iter().map(|peer| {
        let call = router.client.origin(peer, &question);
        async move { timeout(REPLY_TIMEOUT, call).await }
    });
    let mut calls: FuturesUnordered<_> = calls.collect();
    let mut all = OriginReplies { has_others, replies: SmallVec::new() };
    while let Some(result) = calls.next().await {
        // A router that does not reply knows nothing that could be used.
        if let Ok(Ok(reply)) = result {
            all.replies.push(reply.into());
        }
        if all.software().is_some() {
            break;
        }
    }
    all
}

/// What this router knows of the stream that another one asks about.
pub(crate) fn reply_to_query<S: Store>(
    router: &Router<S>,
    WireOriginQuery(stream, service): &WireOriginQuery,
) -> WireOriginReply {
    router.relay.origin_reply(*stream, service).into()
}
