//! Exchanges with the other routers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::seq::IndexedRandom;
use slog::{debug, info, warn};
use smallvec::SmallVec;
use tokio::time::{sleep, timeout};

use crate::events::Code;
use crate::peers::{PeerError, encode};
use crate::router::state_change_log::StateChangeLog;
use crate::router::{Router, Store};

/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(500);
/// Size of a fleet, without this router, up to which all are told in each round.
const MOST_TOLD: usize = 6;
/// Routers of the same failure domain told in one round of a larger fleet.
const NEAR_TOLD: usize = 3;
/// Routers of other failure domains told in one round of a larger fleet.
const FAR_TOLD: usize = 1;
/// Time between two looks for routers that nobody told of.
const LOOK_TIME: Duration = Duration::from_secs(30);
/// Time between two such looks while no other router is known.
const LONELY_LOOK_TIME: Duration = Duration::from_secs(2);

/// Tells the other routers what this one knows, for ever.
pub(crate) async fn exchange<S: Store>(router: Arc<Router<S>>) {
    let mut beliefs = StateChangeLog::default();
    loop {
        beliefs.tell(&router);
        match encode(&router.message()) {
            Ok(body) => {
                for peer in told(&router) {
                    tokio::spawn(tell(Arc::clone(&router), peer, body.clone()));
                }
            }
            Err(e) => warn!(router.logger, "a message cannot be written";
                "event" => Code::MessageUnreadable.number(), "error" => %e),
        }
        router.peers.lock().unwrap().sweep(router.relay.clock().now());
        // Ends early when there is news; either way a round begins.
        let _ = timeout(ROUND, router.exchange_now.notified()).await;
    }
}

/// Routers to tell in this round: all of a small fleet; else the one that tells
/// this one of the store, and some of both near and far, as bytes between failure
/// domains cost more.
fn told<S: Store>(router: &Router<S>) -> SmallVec<[SocketAddr; MOST_TOLD]> {
    let peers = router.peers.lock().unwrap();
    let (near, far): (Vec<_>, Vec<_>) = peers.addresses().partition(|(_, near)| *near);
    if near.len() + far.len() <= MOST_TOLD {
        return near.iter().chain(&far).map(|(address, _)| *address).collect();
    }
    let reader = peers.reader(router.relay.clock().now());
    let random = &mut rand::rng();
    let near = near.choose_multiple(random, NEAR_TOLD).copied().collect::<Vec<_>>();
    let far = far.choose_multiple(random, FAR_TOLD);
    let mut told: SmallVec<[SocketAddr; MOST_TOLD]> = reader.into_iter().collect();
    for (address, _) in near.iter().chain(far) {
        if !told.contains(address) {
            told.push(*address);
        }
    }
    told
}

async fn tell<S: Store>(router: Arc<Router<S>>, peer: SocketAddr, body: Bytes) {
    let sent = router.relay.clock().boot();
    match router.client.exchange(peer, body).await {
        Ok(message) => router.receive_reply(message, sent),
        Err(e) => {
            debug!(router.logger, "a router does not answer"; "peer" => %peer, "error" => %e);
            if matches!(e, PeerError::Refused) {
                router.peers.lock().unwrap().record_refused(peer);
            }
        }
    }
}

/// Announces this router in the store and looks for others there, for ever.
pub(crate) async fn find_routers<S: Store>(router: Arc<Router<S>>) {
    let own = router.peers.lock().unwrap().own().clone();
    let mut announced = false;
    loop {
        if !announced {
            match router.store.announce(&own).await {
                Ok(()) => announced = true,
                Err(e) => warn!(router.logger, "cannot announce this router";
                    "event" => Code::AnnounceFailed.number(), "error" => %e),
            }
        }
        let now = router.relay.clock().now();
        match router.store.routers().await {
            Ok(found) => {
                let mut peers = router.peers.lock().unwrap();
                for it in found {
                    peers.merge_announced(it, now);
                }
            }
            Err(e) => info!(router.logger, "cannot look for other routers";
                "event" => Code::LookFailed.number(), "error" => %e),
        }
        router.exchange_now.notify_one();
        let alone = router.peers.lock().unwrap().alive_count(now) == 0;
        sleep(if alone || !announced { LONELY_LOOK_TIME } else { LOOK_TIME }).await;
    }
}
