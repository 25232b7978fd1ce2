//! Appends claims to the log in batches.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use serde_json::Value;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::backend::{LogClient, PlatformError};
use crate::decide::once::{AppendLimiter, Claim};
use crate::events::{Code, EventLog, Fields};
use crate::fleet::ViewCell;
use crate::once::tail::{MAX_CLAIM_PAUSE, MIN_CLAIM_BALANCE_BYTES};
use crate::once::{CLAIM_STREAM, OnceCoordinator};
use crate::wire::WireClaims;

/// Maximum number of claims in one record.
const MAX_CLAIMS: usize = 500;
/// Maximum number of concurrent appends; more than one, because a lost reply must not
/// delay later claims.
const MAX_APPENDS: usize = 8;
/// HTTP status with which the log refuses an append above its rate limit.
const TOO_MANY_REQUESTS: u16 = 429;
/// Pause before claims are queued again after such a refusal.
const RATE_LIMIT_PAUSE: Duration = Duration::from_millis(250);

/// Records an event at the first failed append and at the first successful one after
/// it. Failed reads do not show an outage early enough: they may hang for long first.
#[derive(Debug)]
struct AppendHealth {
    events: Arc<EventLog>,
    is_failing: AtomicBool,
}

impl AppendHealth {
    fn record(&self, result: &Result<u64, PlatformError>) {
        let fault = match result {
            Err(PlatformError::Status { status: TOO_MANY_REQUESTS, .. }) => return,
            Err(e) => Some(e.to_string()),
            Ok(_) => None,
        };
        if self.is_failing.swap(fault.is_some(), Ordering::Relaxed) == fault.is_some() {
            return;
        }
        let code = if fault.is_some() { Code::AppendFailed } else { Code::AppendTaken };
        let detail = fault.unwrap_or_default();
        self.events.record(code, Fields { subject: CLAIM_STREAM, detail: &detail });
    }
}

/// Appends pending claims until the process ends. A claim takes effect when the tail
/// reads it back from the log, whatever the reply to the append was.
pub(crate) async fn append_claims(
    log: LogClient,
    coordinator: Arc<OnceCoordinator>,
    view: Arc<ViewCell>,
    events: Arc<EventLog>,
) {
    let health = Arc::new(AppendHealth { events, is_failing: AtomicBool::new(false) });
    let permits = Arc::new(Semaphore::new(MAX_APPENDS));
    let mut limiter = AppendLimiter::new(coordinator.now_ms());
    loop {
        coordinator.pending_added.notified().await;
        loop {
            sleep(coordinator.settings().batch).await;
            if !coordinator.has_pending() {
                break;
            }
            let routers = view.peek().routers.len();
            while let Err(wait) =
                limiter.take(coordinator.now_ms(), routers, coordinator.settings().appends)
            {
                sleep(Duration::from_millis(wait)).await;
            }
            log.wait_for_budget_within(MIN_CLAIM_BALANCE_BYTES, MAX_CLAIM_PAUSE).await;
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
                return;
            };
            let claims = coordinator.take_pending(MAX_CLAIMS);
            if claims.is_empty() {
                break;
            }
            let log = log.clone();
            let coordinator = Arc::clone(&coordinator);
            let health = Arc::clone(&health);
            tokio::spawn(async move {
                append(&log, &coordinator, &health, claims).await;
                drop(permit);
            });
        }
    }
}

async fn append(
    log: &LogClient,
    coordinator: &OnceCoordinator,
    health: &AppendHealth,
    claims: Vec<(u64, Claim)>,
) {
    let wire = WireClaims::new(coordinator.me(), claims.iter().map(|it| &it.1));
    let body: Value = serde_json::to_value(wire).unwrap_or_default();
    let result = log.append(CLAIM_STREAM, &body).await;
    health.record(&result);
    match result {
        Err(PlatformError::Status { status: TOO_MANY_REQUESTS, .. }) => {
            sleep(RATE_LIMIT_PAUSE).await;
            coordinator.requeue(claims);
            coordinator.pending_added.notify_one();
        }
        Err(PlatformError::Status { .. }) => coordinator.mark_failed(&claims),
        // Without a reply, the claims may still be in the log: the tail will read them.
        Ok(_) | Err(_) => {}
    }
}
