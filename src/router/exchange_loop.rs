//! Periodic exchange of state with the other routers, and their discovery in the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use slog::{debug, info, warn};
use tokio::time::timeout;

use crate::events::Code;
use crate::peers::{FailureKind, PeerError, ROUND_INTERVAL};
use crate::router::blame_store::merge_stored;
use crate::router::state_change_log::StateChangeLog;
use crate::router::stream_records::merge_records;
use crate::router::{Router, Store};

/// Time between two scans of the store for routers that no other router has reported.
const SCAN_INTERVAL: Duration = Duration::from_secs(30);
/// Time between two scans while no other router is alive, this one is not announced, or the
/// last scan failed.
const ISOLATED_SCAN_INTERVAL: Duration = Duration::from_secs(2);

/// Exchanges state with the other routers in rounds, for ever.
pub(crate) async fn exchange<S: Store>(router: Arc<Router<S>>) {
    let mut state_changes = StateChangeLog::default();
    loop {
        state_changes.log_changes(&router);
        match router.message().encode() {
            Ok(body) => {
                let now = router.relay.clock().now();
                let targets = router.peers.lock().unwrap().round_targets(now, &mut rand::rng());
                for peer in targets {
                    tokio::spawn(exchange_with(Arc::clone(&router), peer, body.clone()));
                }
            }
            Err(e) => warn!(router.logger, "cannot encode the message to other routers";
                "event" => Code::MessageUnreadable.number(), "error" => %e),
        }
        let now = router.relay.clock().now();
        expire_peers(&router, now);
        router.relay.parts.lock().unwrap().remove_expired(now);
        router.relay.origins.lock().unwrap().remove_expired(now);
        router.relay.servers.lock().unwrap().follow_paces(now);
        router.pace_metrics.update(&router.relay);
        // Ends early on a change to report; the next round begins in either case.
        let _ = timeout(ROUND_INTERVAL, router.exchange_now.notified()).await;
    }
}

fn expire_peers<S: Store>(router: &Router<S>, now: Instant) {
    let mut peers = router.peers.lock().unwrap();
    peers.attend(now);
    peers.remove_expired(now);
    router.update_forwarders(&peers, now);
    router.update_tokens(&peers, now);
    router.update_cold_senders(&peers);
}

async fn exchange_with<S: Store>(router: Arc<Router<S>>, peer: SocketAddr, body: Bytes) {
    let sent = router.relay.clock().boot();
    match router.client.exchange(peer, body).await {
        Ok(message) => router.receive_reply(message, sent),
        Err(e) => {
            debug!(router.logger, "exchange with a router failed"; "peer" => %peer, "error" => %e);
            let kind = match e {
                PeerError::Refused => FailureKind::Refused,
                PeerError::Failed(_) => FailureKind::Unreached,
            };
            let now = router.relay.clock().now();
            router.peers.lock().unwrap().record_failure(peer, kind, now);
        }
    }
}

/// Announces this router in the store and scans it for other routers, for ever.
pub(crate) async fn find_routers<S: Store>(router: Arc<Router<S>>) {
    let own = router.peers.lock().unwrap().own().clone();
    // The state of the store that holds the announcement.
    let mut announced_in = None;
    loop {
        let era = *router.store_era.lock().unwrap();
        if announced_in.is_none_or(|it| era.follows(it)) {
            match router.store.announce(&own).await {
                Ok(era) => {
                    announced_in = Some(era);
                    router.note_era(era);
                }
                Err(e) => warn!(router.logger, "cannot announce this router in the store";
                    "event" => Code::AnnounceFailed.number(), "error" => %e),
            }
        }
        let now = router.relay.clock().now();
        let scanned = match router.store.announcements().await {
            Ok(found) => {
                router.note_era(found.next.era);
                merge_stored(&router, found.blamed);
                merge_records(&router, found.streams, found.next);
                let mut peers = router.peers.lock().unwrap();
                for it in found.routers {
                    peers.merge_announced(it, now);
                }
                true
            }
            Err(e) => {
                info!(router.logger, "cannot scan the store for other routers";
                    "event" => Code::LookFailed.number(), "error" => %e);
                false
            }
        };
        router.stream_records.end_first_read();
        router.exchange_now.notify_one();
        let alone = router.peers.lock().unwrap().alive_count(now) == 0;
        let is_complete = announced_in.is_some() && scanned && !alone;
        let pause = if is_complete { SCAN_INTERVAL } else { ISOLATED_SCAN_INTERVAL };
        // Ends early when the store was restored, and may lack the announcement; the next round
        // begins in either case.
        let _ = timeout(pause, router.restored.notified()).await;
    }
}
