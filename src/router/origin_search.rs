//! Finds out which software version began a stream that this router does not know: from the store
//! and from other routers.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::{Either, select};
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::relay::{FoundOrigin, OriginQuery, OriginReply};
use crate::router::{Router, Store};
use crate::servers::{RouterProcess, ServiceSoftware};
use crate::wire::{WireOriginQuery, WireOriginReply};

/// Number of other routers that are asked about a stream, at most: more than are told, as
/// routers may know different sets of each other.
const MAX_ASKED: usize = 5;
/// Limit on the other routers that are asked besides, as they may have begun the stream.
const MAX_REQUIRED: usize = 128;
/// Limit on the reply of one router.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// Limit on the wait for the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(300);

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
    let found = find_origin(&router, query.stream, &query.service).await;
    // The request may have ended meanwhile.
    let _ = query.found.send(found);
}

/// Looks for what began a stream: in the store, and at other routers where several versions may
/// have begun it.
async fn find_origin<S: Store>(router: &Router<S>, stream: u64, service: &str) -> FoundOrigin {
    let refresh = pin!(refresh(router));
    let is_current = match needs_others(router, service) {
        true => {
            let ask = pin!(ask(router, stream, service));
            match select(ask, refresh).await {
                Either::Left((Asked { software: Some(it), .. }, _)) => {
                    return FoundOrigin::Known(it);
                }
                Either::Left((Asked { software: None, .. }, refresh)) => refresh.await,
                Either::Right((is_current, _)) => is_current,
            }
        }
        false => refresh.await,
    };
    if let Some(software) = router.relay.known_origin(stream) {
        return FoundOrigin::Known(software);
    }
    // The store named who may have begun it: these are asked, the others need not be.
    let mut asked = Asked::default();
    if !is_current || needs_others(router, service) {
        asked = ask(router, stream, service).await;
    }
    if let Some(software) = asked.software {
        return FoundOrigin::Known(software);
    }
    let servers = router.relay.servers.lock().unwrap();
    let is_complete = servers.knows_all_software(service, router.relay.clock().now());
    match *servers.possible_software(service, &asked.processes) {
        [software] if is_current && is_complete => FoundOrigin::Only(software),
        _ => FoundOrigin::Unknown,
    }
}

/// Reads the store; false if it does not answer in time.
async fn refresh<S: Store>(router: &Router<S>) -> bool {
    timeout(STORE_TIMEOUT, router.stream_records.refresh()).await.unwrap_or(false)
}

/// Whether several versions may have begun a stream of `service`, so that others have to be asked.
fn needs_others<S: Store>(router: &Router<S>, service: &str) -> bool {
    let servers = router.relay.servers.lock().unwrap();
    let is_mixed = servers.software(service) == ServiceSoftware::Several;
    is_mixed || !servers.knows_all_software(service, router.relay.clock().now())
}

/// What other routers replied to a question about a stream.
#[derive(Debug, Default)]
struct Asked {
    /// Key of the version that began it, if one knows that.
    software: Option<u64>,
    /// The processes that do not know it.
    processes: Vec<RouterProcess>,
}

/// Asks other routers, until one knows the version that began the stream, or all have replied that
/// may have begun streams at versions that are not registered for all.
async fn ask<S: Store>(router: &Router<S>, stream: u64, service: &str) -> Asked {
    let required = router.relay.servers.lock().unwrap().registered_processes(service);
    let targets = targets(router, stream, &required);
    let question = WireOriginQuery(stream, service.to_owned());
    let calls = targets.into_iter().map(|(router_hash, peer)| {
        let call = router.client.origin(peer, &question);
        async move { (router_hash, timeout(REPLY_TIMEOUT, call).await) }
    });
    let mut calls: FuturesUnordered<_> = calls.collect();
    let mut asked = Asked::default();
    while let Some((router, result)) = calls.next().await {
        // A router that does not reply knows nothing that could be used.
        let Ok(Ok(reply)) = result else {
            continue;
        };
        let OriginReply { software, born, .. } = reply.into();
        asked.processes.extend(born.map(|born| RouterProcess { router, born }));
        asked.software = software;
        let is_complete =
            !required.is_empty() && required.iter().all(|it| asked.processes.contains(it));
        if software.is_some() || is_complete {
            break;
        }
    }
    asked
}

/// The routers that are asked about a stream, by the hashes of their names: the first in its
/// rendezvous order, and those in `required`.
fn targets<S: Store>(
    router: &Router<S>,
    stream: u64,
    required: &[RouterProcess],
) -> Vec<(u64, SocketAddr)> {
    let peers = router.peers.lock().unwrap();
    let mut targets: Vec<(u64, SocketAddr)> =
        peers.ranked(stream, router.relay.clock().now()).take(MAX_ASKED).collect();
    if required.len() <= MAX_REQUIRED {
        targets.extend(required.iter().filter_map(|it| Some((it.router, peers.address(*it)?))));
    }
    targets.sort_unstable();
    targets.dedup();
    targets
}

/// What this router knows of the stream that another one asks about.
pub(crate) fn reply_to_query<S: Store>(
    router: &Router<S>,
    WireOriginQuery(stream, service): &WireOriginQuery,
) -> WireOriginReply {
    let software = router.relay.known_origin(*stream);
    let service = router.relay.servers.lock().unwrap().software(service);
    OriginReply { software, service, born: Some(router.process().born) }.into()
}
