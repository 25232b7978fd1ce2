//! Keeps the table of backend servers current, from the store or from a reader.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use slog::{info, warn};
use tokio::time::sleep_until;

use crate::events::Code;
use crate::relay::confirm_server;
use crate::router::cursor::Cursor;
use crate::router::{Router, SourceHealth, SourceTransition, Store, StoreError};
use crate::servers::{
    Change, Effect, ListCursor, Page, Position, ServerRecord, SoftwareVersion, TableRevision,
};
use crate::wire::{WireServer, WireServersRequest};

/// Pause between two reads of the store. Many records are written per second, so a read
/// that waits for the next one would return at once.
const READ_PAUSE: Duration = Duration::from_millis(700);
/// The same while other routers rely on this one.
const FOLLOWED_READ_PAUSE: Duration = Duration::from_millis(400);
/// Time from the last failed call until removals of records apply at once again, whatever
/// was missed: the platform counts a router as connected 3 s after an outage.
const SETTLE_TIME: Duration = Duration::from_millis(2_800);
/// Pause between two polls of a reader.
const POLL_PAUSE: Duration = Duration::from_millis(400);
/// Limit on the age of a reader's last read of the store; older replies are not used.
const MAX_READ_AGE: Duration = Duration::from_millis(1_500);

/// Keeps the backend servers current, for ever.
pub(crate) async fn follow_servers<S: Store>(router: Arc<Router<S>>) {
    let clock = router.relay.clock();
    let mut health = SourceHealth::default();
    let mut cursor = Cursor::default();
    let mut list = ListCursor::default();
    // Versions that began streams before this process started are known first.
    router.stream_records.first_read().await;
    let mut is_first = true;
    loop {
        let mut began = clock.now();
        let mut sent = clock.boot();
        let read = match reader(&router) {
            Some(peer) if is_first => first_read(&router, peer, &mut list, &mut health).await,
            Some(peer) if poll(&router, peer, &mut list, &mut health).await => None,
            _ => {
                (began, sent) = (clock.now(), clock.boot());
                Some(router.store.servers(cursor.offset()).await)
            }
        };
        is_first = false;
        let Some(read) = read else {
            cursor.reset();
            wait(&router, POLL_PAUSE).await;
            continue;
        };
        let pause = match read {
            Ok(page) if cursor.is_outdated(page.next) => {
                router.note_era(page.next.era);
                cursor.reset();
                Duration::ZERO
            }
            Ok(page) => {
                router.note_era(page.next.era);
                if cursor.is_restored(page.next) {
                    // Servers that the copy lacks write their records again.
                    expect_records(&router, clock.now() + SETTLE_TIME);
                }
                note_success(&router, &mut health);
                cursor.advance(page.next);
                let is_last = page.is_last;
                apply(&router, page);
                if is_last {
                    router.relay.servers_lease.renew(sent);
                    read_pause(&router)
                } else {
                    Duration::ZERO
                }
            }
            Err(StoreError::Gap) => {
                info!(router.logger, "next changes of servers are no longer stored; reading all";
                    "event" => Code::ReadWhole.number());
                cursor.reset();
                Duration::ZERO
            }
            Err(e) => {
                if health.record_failure(began) == SourceTransition::Lost {
                    if let Some(at) = last_list(&router) {
                        health.extend_outage(at);
                    }
                    warn!(router.logger, "backend servers cannot be read";
                        "event" => Code::ServersLost.number(), "error" => %e);
                }
                health.retry_delay(&mut rand::rng())
            }
        };
        wait(&router, pause).await;
    }
}

/// Polls a reader and reads the store at the same time, as the reader may have no list yet, or not
/// be back, after a restart of many routers. Returns what the store answered; `None` if the
/// reader's list was used.
async fn first_read<S: Store>(
    router: &Router<S>,
    peer: SocketAddr,
    list: &mut ListCursor,
    health: &mut SourceHealth,
) -> Option<Result<Page<ServerRecord>, StoreError>> {
    let poll = pin!(poll(router, peer, list, health));
    let read = pin!(router.store.servers(None));
    match select(poll, read).await {
        Either::Left((true, _)) => None,
        Either::Left((false, read)) => Some(read.await),
        Either::Right((Err(e), poll)) => (!poll.await).then_some(Err(e)),
        Either::Right((read, _)) => Some(read),
    }
}

/// Pause until the next read of the store.
fn read_pause<S: Store>(router: &Router<S>) -> Duration {
    let has_followers = router.peers.lock().unwrap().has_followers(router.relay.clock().now());
    if has_followers { FOLLOWED_READ_PAUSE } else { READ_PAUSE }
}

/// Notes that a list was read, from the store or a reader. After an outage that this router noticed
/// itself, records may be missing for a while.
fn note_success<S: Store>(router: &Router<S>, health: &mut SourceHealth) {
    let transition = health.record_success(router.relay.clock().now());
    if let SourceTransition::Restored(long, last) = transition {
        info!(router.logger, "the store supplies the backend servers again";
            "event" => Code::ServersBack.number());
        if long {
            expect_records(router, last + SETTLE_TIME);
        }
    }
}

/// When a router that polls a reader last had a current list: it calls the store itself only once
/// the reader has not reached it for a while.
fn last_list<S: Store>(router: &Router<S>) -> Option<Instant> {
    let relay = &router.relay;
    let age = relay.servers_lease.age(relay.clock().boot()).filter(|_| !router.is_reader());
    relay.clock().now().checked_sub(age?)
}

/// Notes the state of the store that a reader names. Servers that a copy lacks write their records
/// again.
fn note_reader_era<S: Store>(router: &Router<S>, next: Position) {
    router.note_told_era(next.era);
    let known = router.relay.servers.lock().unwrap().position();
    if known.era.is_before(next.era) {
        expect_records(router, router.relay.clock().now() + SETTLE_TIME);
    }
}

/// Lets records that go from now on reappear for a while, until `latest` at most.
fn expect_records<S: Store>(router: &Router<S>, latest: Instant) {
    let now = router.relay.clock().now();
    router.relay.servers.lock().unwrap().source_recovered(now, latest);
}

/// The reader to poll for backend servers; `None` if this router reads the store itself.
fn reader<S: Store>(router: &Router<S>) -> Option<SocketAddr> {
    router.peers.lock().unwrap().reader(router.relay.clock().now())
}

/// Polls a reader for changes. Returns false if it fails or if its last read is too old. What the
/// reader concludes from an outage of its own is not taken over.
async fn poll<S: Store>(
    router: &Router<S>,
    peer: SocketAddr,
    list: &mut ListCursor,
    health: &mut SourceHealth,
) -> bool {
    let clock = router.relay.clock();
    let sent = clock.boot();
    let TableRevision { table, number } = list.known(peer);
    let request = WireServersRequest { epoch: table, stamp: number };
    let (reply, addition) = match router.client.servers(peer, &request).await {
        Ok((reply, Some(it))) => (reply, it),
        Ok((_, None)) => {
            info!(router.logger, "a router of an earlier version knows no software versions";
                "event" => Code::PeerUnhelpful.number(), "peer" => %peer);
            return false;
        }
        Err(e) => {
            info!(router.logger, "cannot poll a router for backend servers";
                "event" => Code::PeerUnhelpful.number(), "peer" => %peer, "error" => %e);
            return false;
        }
    };
    let age = reply.age_ms.map(Duration::from_millis).filter(|it| *it < MAX_READ_AGE);
    let Some(read) = age.and_then(|it| sent.checked_sub(it)) else {
        return false;
    };
    router.relay.servers_lease.renew(read);
    let next = addition.position.map(Position::from).unwrap_or_default();
    note_success(router, health);
    note_reader_era(router, next);
    merge_registered(router, &addition.registered, next);
    let versions = addition.versions;
    let change = |(key, row): (String, Option<WireServer>)| {
        let record = |it: WireServer| {
            let software = versions.get(&key).ok_or("the software version is missing")?;
            Ok(ServerRecord::from((it, SoftwareVersion::from(software.as_str()))))
        };
        let value = row.map(|it| record(it).map_err(str::to_owned));
        Change { key, value }
    };
    let changes = reply.rows.into_iter().map(change).collect();
    // What a lagging reader supplies is asked for again.
    if apply(router, Page { changes, next, is_complete: reply.whole, is_last: true }) {
        list.advance(peer, TableRevision { table: reply.epoch, number: reply.stamp });
    }
    true
}

/// Notes which versions a reader knows to be registered in the store, unless it does not know yet
/// that the store was restored.
fn merge_registered<S: Store>(router: &Router<S>, registered: &[u64], next: Position) {
    let known = *router.store_era.lock().unwrap();
    if !known.follows(next.era) {
        router.relay.servers.lock().unwrap().merge_registered(registered);
    }
}

/// Returns false if the page is older than what is known.
fn apply<S: Store>(router: &Router<S>, page: Page<ServerRecord>) -> bool {
    let now = router.relay.clock().now();
    for it in &page.changes {
        if let Some(Err(e)) = &it.value {
            warn!(router.logger, "the record of a backend server cannot be decoded";
                "event" => Code::RecordUnreadable.number(), "key" => &it.key, "error" => e);
        }
    }
    let mut servers = router.relay.servers.lock().unwrap();
    let is_current = servers.apply(page, now, |id, effect| log_effect(router, id, effect));
    if servers.record_software(now) {
        // Other routers must not take the former version for the only one.
        router.relay.urgent_update.notify_one();
    }
    let unconfirmed = servers.take_unconfirmed();
    drop(servers);
    for (server, service) in unconfirmed {
        tokio::spawn(confirm_server(Arc::clone(&router.relay), server, service));
    }
    is_current
}

/// Waits before the next read, and expires entries of the table when they are due.
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
    servers.expire(now, |id, effect| log_effect(router, id, effect));
    servers.record_software(now);
    drop(servers);
    router.relay.pool.remove_expired(now);
}

fn log_effect<S: Store>(router: &Router<S>, id: &str, effect: Effect) {
    let (event, text) = match effect {
        Effect::None | Effect::Unreadable => return,
        Effect::Joined => (Code::InstanceJoined, "a backend server joined"),
        Effect::Left => (Code::InstanceLeaving, "a backend server takes no new requests"),
        Effect::Gone => {
            (Code::InstanceGone, "the record of a backend server that had left is gone")
        }
        Effect::Retained => (
            Code::RecordHeld,
            "a record was removed during an outage; its server stays in use for a while",
        ),
    };
    info!(router.logger, "{}", text; "event" => event.number(), "server" => id);
}
