//! Follows the rules in the store and renews the lease on them.

use std::sync::Arc;
use std::time::Duration;

use slog::{error, info, warn};
use tokio::time::sleep;

use crate::router::{Router, SourceHealth, Store, StoreError, Turn};
use crate::rules::RuleSet;
use crate::servers::Page;

/// How long the store holds a read back when nothing changes. A read proves what was in
/// force when it was sent, so that the lease gets as old as two waits.
const WAIT: Duration = Duration::from_millis(900);

/// Follows the rules for ever.
pub(crate) async fn follow_rules<S: Store>(router: Arc<Router<S>>) {
    let clock = router.relay.clock();
    let mut health = SourceHealth::default();
    let mut from = None;
    loop {
        let sent = clock.boot();
        let began = clock.now();
        match router.store.rules(from, WAIT).await {
            Ok(page) => {
                let next = page.next;
                if apply(&router, page) {
                    router.relay.lease.renew(sent);
                }
                from = Some(next);
                if let Turn::Back(_) = health.succeeded(clock.now()) {
                    info!(router.logger, "rules are read again"; "event" => 203);
                }
            }
            Err(StoreError::Gap) => {
                info!(router.logger, "rules are read as a whole"; "event" => 207);
                from = None;
            }
            Err(e) => {
                if health.failed(began) == Turn::Lost {
                    warn!(router.logger, "rules cannot be read"; "event" => 202, "error" => %e);
                }
                let pause = health.pause(&mut rand::rng());
                sleep(pause).await;
            }
        }
    }
}

/// False when what was read cannot be used.
fn apply<S: Store>(router: &Router<S>, page: Page<RuleSet>) -> bool {
    let mut readable = true;
    for change in page.changes {
        match change.value {
            Some(Ok(rules)) => {
                readable = true;
                let version = rules.version;
                if router.relay.rules.advance(rules) {
                    info!(router.logger, "rules in force"; "event" => 200, "version" => version);
                }
            }
            Some(Err(e)) => {
                readable = false;
                error!(router.logger, "rules cannot be decoded, the last ones stay in force";
                    "event" => 201, "error" => e);
            }
            None => {}
        }
    }
    readable
}
