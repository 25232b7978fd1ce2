//! Follows the records of backend servers in the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::sleep_until;

use crate::events::Code;
use crate::router::{Router, SourceHealth, SourceTransition, Store, StoreError};
use crate::servers::{Change, Effect, Page, ServerRecord};
use crate::wire::{WireServer, WireServersAsk};

/// Pause between two reads. Records come many a second, so that a read which
/// waits for the next would return at once.
const PAUSE: Duration = Duration::from_millis(700);

/// The same where other routers rely on this one.
const FOLLOWED_PAUSE: Duration = Duration::from_millis(400);
/// Time after the last call that failed from which records bind again, whatever
/// was missed: the platform takes a router to be in touch 3 s after an outage.
const SETTLE_TIME: Duration = Duration::from_millis(2_800);
/// Pause between two questions to a router that follows the store.
const ASK_PAUSE: Duration = Duration::from_millis(400);
/// Records that another router read longer ago are of no use.
const MOST_AGE: Duration = Duration::from_millis(1_500);

/// Follows the records for ever.
pub(crate) async fn follow_servers<S: Store>(router: Arc<Router<S>>) {
    let clock = router.relay.clock();
    let mut health = SourceHealth::default();
    let mut from = None;
    let mut known = WireServersAsk { epoch: 0, stamp: 0 };
    loop {
        if let Some(peer) = reader(&router)
            && ask(&router, peer, &mut known).await
        {
            from = None;
            wait(&router, ASK_PAUSE).await;
            continue;
        }
        let began = clock.now();
        let sent = clock.boot();
        let pause = match router.store.servers(from).await {
            Ok(page) => {
                let turn = health.record_success(clock.now());
                if let SourceTransition::Restored(long, last) = turn {
                    info!(router.logger, "backend servers are read again"; "event" => Code::ServersBack.number());
                    if long {
                        router
                            .relay
                            .servers
                            .lock()
                            .unwrap()
                            .source_recovered(clock.now(), last + SETTLE_TIME);
                    }
                }
                from = Some(page.next);
                router.servers_lease.renew(sent);
                apply(&router, page);
                let followed = router.peers.lock().unwrap().has_followers(clock.now());
                if followed { FOLLOWED_PAUSE } else { PAUSE }
            }
            Err(StoreError::Gap) => {
                info!(router.logger, "backend servers are read as a whole"; "event" => Code::ReadWhole.number());
                from = None;
                Duration::ZERO
            }
            Err(e) => {
                if health.record_failure(began) == SourceTransition::Lost {
                    warn!(router.logger, "backend servers cannot be read";
                        "event" => Code::ServersLost.number(), "error" => %e);
                }
                health.retry_delay(&mut rand::rng())
            }
        };
        wait(&router, pause).await;
    }
}

/// A router to ask for backend servers; none where this one follows the store itself.
fn reader<S: Store>(router: &Router<S>) -> Option<SocketAddr> {
    router.peers.lock().unwrap().reader(router.relay.clock().now())
}

/// Asks another router for changes; false when its answer is of no use.
async fn ask<S: Store>(router: &Router<S>, peer: SocketAddr, known: &mut WireServersAsk) -> bool {
    let clock = router.relay.clock();
    let sent = clock.boot();
    let answer = match router.client.servers(peer, known).await {
        Ok(it) => it,
        Err(e) => {
            info!(router.logger, "a router does not tell of backend servers";
                "event" => Code::PeerUnhelpful.number(), "peer" => %peer, "error" => %e);
            return false;
        }
    };
    let age = answer.age_ms.map(Duration::from_millis).filter(|it| *it < MOST_AGE);
    let Some(read) = age.and_then(|it| sent.checked_sub(it)) else {
        return false;
    };
    router.servers_lease.renew(read);
    *known = WireServersAsk { epoch: answer.epoch, stamp: answer.stamp };
    let change = |(key, row): (String, Option<WireServer>)| {
        let value = row.map(|it| Ok(ServerRecord::from(it)));
        Change { key, value }
    };
    let changes = answer.rows.into_iter().map(change).collect();
    apply(router, Page { changes, next: answer.stamp, is_complete: answer.whole });
    true
}

fn apply<S: Store>(router: &Router<S>, page: Page<ServerRecord>) {
    let now = router.relay.clock().now();
    for it in &page.changes {
        if let Some(Err(e)) = &it.value {
            warn!(router.logger, "a record names no backend server";
                "event" => Code::RecordUnreadable.number(), "key" => &it.key, "error" => e);
        }
    }
    let mut servers = router.relay.servers.lock().unwrap();
    servers.apply(page, now, |id, effect| note(router, id, effect));
}

/// Waits before the next read; what ends meanwhile ends in time.
async fn wait<S: Store>(router: &Router<S>, pause: Duration) {
    let until = router.relay.clock().now() + pause;
    loop {
        expire(router);
        let next = router.relay.servers.lock().unwrap().next_expiry();
        let Some(next) = next.filter(|it| *it < until) else {
            break;
        };
        sleep_until(next.into()).await;
    }
    sleep_until(until.into()).await;
}

fn expire<S: Store>(router: &Router<S>) {
    let now = router.relay.clock().now();
    let mut servers = router.relay.servers.lock().unwrap();
    servers.expire(now, |id, effect| note(router, id, effect));
    drop(servers);
    router.relay.pool.remove_expired(now);
}

fn note<S: Store>(router: &Router<S>, id: &str, effect: Effect) {
    let (event, text) = match effect {
        Effect::None | Effect::Unreadable => return,
        Effect::Joined => (Code::InstanceJoined, "a backend server joined"),
        Effect::Left => (Code::InstanceLeaving, "a backend server takes no new requests"),
        Effect::Retained => {
            (Code::RecordHeld, "a record went during an outage; the server is used for a while")
        }
    };
    info!(router.logger, "{}", text; "event" => event.number(), "server" => id);
}
