//! Follows the rules in the store and renews the lease on them.

use std::sync::Arc;
use std::time::Duration;

use slog::{error, info, warn};
use tokio::time::{sleep, timeout};

use crate::events::Code;
use crate::router::{Router, SourceHealth, SourceTransition, Store, StoreError};
use crate::rules::RuleSet;
use crate::servers::Page;

/// How long the store holds a read back when nothing changes. A read proves what was in
/// force when it was sent, so that the lease gets as old as two waits.
const WAIT: Duration = Duration::from_millis(900);
/// The same where other routers rely on this one.
const FOLLOWED_WAIT: Duration = Duration::from_millis(400);
/// A router that does not follow the store reads the rules itself once they were
/// not confirmed for this long.
const FOLLOW_AGE: Duration = Duration::from_millis(1_700);

/// Follows the rules for ever.
pub(crate) async fn follow_rules<S: Store>(router: Arc<Router<S>>) {
    let clock = router.relay.clock();
    let mut health = SourceHealth::default();
    let mut from = None;
    loop {
        let wait = next_read(&router).await;
        let sent = clock.boot();
        let began = clock.now();
        match router.store.rules(from, wait).await {
            Ok(page) => {
                let next = page.next;
                if apply(&router, page) {
                    router.relay.lease.renew(sent);
                }
                from = Some(next);
                if let SourceTransition::Restored(..) = health.record_success(clock.now()) {
                    info!(router.logger, "rules are read again";
                        "event" => Code::RulesBack.number());
                }
            }
            Err(StoreError::Gap) => {
                info!(router.logger, "rules are read as a whole";
                    "event" => Code::ReadWhole.number());
                from = None;
            }
            Err(e) => {
                if health.record_failure(began) == SourceTransition::Lost {
                    warn!(router.logger, "rules cannot be read";
                        "event" => Code::RulesLost.number(), "error" => %e);
                }
                let pause = health.retry_delay(&mut rand::rng());
                sleep(pause).await;
            }
        }
    }
}

/// Waits until the rules are to be read, and tells how long that read may wait.
/// Routers that do not follow the store rely on those that do, unless these
/// have newer rules or confirm none.
async fn next_read<S: Store>(router: &Router<S>) -> Duration {
    let clock = router.relay.clock();
    let followed = router.peers.lock().unwrap().has_followers(clock.now());
    if router.is_reader() {
        return if followed { FOLLOWED_WAIT } else { WAIT };
    }
    loop {
        let age = router.relay.lease.age(clock.boot()).unwrap_or(FOLLOW_AGE);
        let left = FOLLOW_AGE.saturating_sub(age);
        let due = timeout(left, router.newer_rules.notified()).await.is_ok();
        if due || left.is_zero() {
            return Duration::ZERO;
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
                    info!(router.logger, "rules in force"; "event" => Code::RulesInForce.number(), "version" => version);
                }
            }
            Some(Err(e)) => {
                readable = false;
                error!(router.logger, "rules cannot be decoded, the last ones stay in force";
                    "event" => Code::RulesUnreadable.number(), "error" => e);
            }
            None => {}
        }
    }
    readable
}
