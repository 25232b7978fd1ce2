//! Follows the records of backend servers in the store.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::sleep;

use crate::router::{Router, SourceHealth, Store, StoreError, Turn};
use crate::servers::{Effect, Page, ServerRecord};

/// Pause between two reads. Records come many a second, so that a read which
/// waits for the next would return at once.
const PAUSE: Duration = Duration::from_millis(700);

/// Follows the records for ever.
pub(crate) async fn follow_servers<S: Store>(router: Arc<Router<S>>) {
    let clock = router.relay.clock();
    let mut health = SourceHealth::default();
    let mut from = None;
    loop {
        let began = clock.now();
        let pause = match router.store.servers(from).await {
            Ok(page) => {
                let turn = health.succeeded(clock.now());
                if let Turn::Back(long) = turn {
                    info!(router.logger, "backend servers are read again"; "event" => 301);
                    if long {
                        router.relay.servers.lock().unwrap().source_returned(clock.now());
                    }
                }
                from = Some(page.next);
                apply(&router, page);
                PAUSE
            }
            Err(StoreError::Gap) => {
                info!(router.logger, "backend servers are read as a whole"; "event" => 207);
                from = None;
                Duration::ZERO
            }
            Err(e) => {
                if health.failed(began) == Turn::Lost {
                    warn!(router.logger, "backend servers cannot be read";
                        "event" => 300, "error" => %e);
                }
                health.pause(&mut rand::rng())
            }
        };
        expire(&router);
        sleep(pause).await;
    }
}

fn apply<S: Store>(router: &Router<S>, page: Page<ServerRecord>) {
    let now = router.relay.clock().now();
    for it in &page.changes {
        if let Some(Err(e)) = &it.value {
            warn!(router.logger, "a record names no backend server"; "key" => &it.key, "error" => e);
        }
    }
    let mut servers = router.relay.servers.lock().unwrap();
    servers.apply(page, now, |id, effect| note(router, id, effect));
}

fn expire<S: Store>(router: &Router<S>) {
    let now = router.relay.clock().now();
    let mut servers = router.relay.servers.lock().unwrap();
    servers.expire(now, |id, effect| note(router, id, effect));
    drop(servers);
    router.relay.upstream().sweep(now);
}

fn note<S: Store>(router: &Router<S>, id: &str, effect: Effect) {
    let (event, text) = match effect {
        Effect::None | Effect::Unreadable => return,
        Effect::Joined => (302, "a backend server joined"),
        Effect::Left => (303, "a backend server takes no new requests"),
        Effect::Held => (304, "a record went during an outage; the server is used for a while"),
    };
    info!(router.logger, "{}", text; "event" => event, "server" => id);
}
