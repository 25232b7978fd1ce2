//! Reads the rules and evacuations from the store as they change, and renews the lease on them.

use std::sync::Arc;
use std::time::Duration;

use slog::{error, info, warn};
use tokio::time::{sleep, timeout};

use crate::events::Code;
use crate::router::cursor::Cursor;
use crate::router::{Router, SourceHealth, SourceTransition, Store, StoreError};
use crate::rules::RuleSet;
use crate::servers::Page;

/// How long the store delays its answer to a read while nothing changes. A read confirms
/// the rules as of the moment it was sent, so the age of the lease reaches two waits.
const READ_WAIT: Duration = Duration::from_millis(900);
/// The same while other routers rely on this one.
const FOLLOWED_READ_WAIT: Duration = Duration::from_millis(400);
/// A router that relies on the readers reads the rules itself once its lease on them is
/// this old.
const MAX_FOLLOWER_LEASE_AGE: Duration = Duration::from_millis(1_700);

/// Keeps the rules current, for ever.
pub(crate) async fn follow_rules<S: Store>(router: Arc<Router<S>>) {
    let clock = router.relay.clock();
    let mut health = SourceHealth::default();
    let mut cursor = Cursor::default();
    let mut has_more = false;
    loop {
        let wait = if has_more { Duration::ZERO } else { next_read(&router).await };
        let sent = clock.boot();
        let began = clock.now();
        match router.store.rules(cursor.offset(), wait).await {
            Ok(page) if cursor.is_outdated(page.rules.next) => {
                router.note_era(page.rules.next.era);
                cursor.reset();
            }
            Ok(page) => {
                let next = page.rules.next;
                router.note_era(next.era);
                has_more = !page.rules.is_last;
                // First, so that no request is sent to servers of an evacuated domain.
                router.relay.apply_evacuations(&page, clock.now());
                // Before the last page, newer rules may be known to the store already.
                if apply(&router, page.rules) && !has_more {
                    router.relay.lease.renew(sent);
                }
                cursor.advance(next);
                if let SourceTransition::Restored(..) = health.record_success(clock.now()) {
                    info!(router.logger, "the store supplies the rules again";
                        "event" => Code::RulesBack.number());
                }
            }
            Err(StoreError::Gap) => {
                info!(router.logger, "next changes of the rules are no longer stored; reading all";
                    "event" => Code::ReadWhole.number());
                cursor.reset();
            }
            Err(e) => {
                has_more = false;
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

/// Waits until the rules are due to be read, and returns how long the store may delay the
/// answer. Routers that are no readers rely on the readers, and read the rules themselves
/// only when another router has newer ones or none confirms theirs.
async fn next_read<S: Store>(router: &Router<S>) -> Duration {
    let clock = router.relay.clock();
    let has_followers = router.peers.lock().unwrap().has_followers(clock.now());
    if router.is_reader() {
        return if has_followers { FOLLOWED_READ_WAIT } else { READ_WAIT };
    }
    loop {
        let age = router.relay.lease.age(clock.boot()).unwrap_or(MAX_FOLLOWER_LEASE_AGE);
        let remaining = MAX_FOLLOWER_LEASE_AGE.saturating_sub(age);
        let due = timeout(remaining, router.newer_rules.notified()).await.is_ok();
        if due || remaining.is_zero() {
            return Duration::ZERO;
        }
    }
}

/// Puts newer rules into force. Returns false when the last rules read cannot be decoded.
fn apply<S: Store>(router: &Router<S>, page: Page<RuleSet>) -> bool {
    let mut is_readable = true;
    for change in page.changes {
        match change.value {
            Some(Ok(rules)) => {
                is_readable = true;
                let version = rules.version;
                if router.relay.rules.advance(rules) {
                    info!(router.logger, "rules in force";
                        "event" => Code::RulesInForce.number(), "version" => version);
                }
            }
            Some(Err(e)) => {
                is_readable = false;
                error!(router.logger, "rules cannot be decoded; the last valid ones stay in force";
                    "event" => Code::RulesUnreadable.number(), "error" => e);
            }
            None => {}
        }
    }
    is_readable
}
