//! Appends claims to the log, many at a time.

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
use crate::once::tail::{CLAIM_DEBT, CLAIM_PACE};
use crate::once::{CLAIM_STREAM, OnceCoordinator};
use crate::wire::WireClaims;

/// Claims in one record at most.
const MAX_CLAIMS: usize = 500;
/// Appends without a reply at most; a lost reply must not hold up later claims.
const MAX_APPENDS: usize = 8;
/// Status of an append above the log's rate.
const BUSY: u16 = 429;
/// Pause after such an append.
const BUSY_PAUSE: Duration = Duration::from_millis(250);

/// Tells once when appends begin to fail, at the first failure, and once when
/// they are taken again; reads of the log may hang for long before they fail.
#[derive(Debug)]
struct Health {
    events: Arc<EventLog>,
    failing: AtomicBool,
}

impl Health {
    fn note(&self, result: &Result<u64, PlatformError>) {
        let fault = match result {
            Err(PlatformError::Status { status: BUSY, .. }) => return,
            Err(e) => Some(e.to_string()),
            Ok(_) => None,
        };
        if self.failing.swap(fault.is_some(), Ordering::Relaxed) == fault.is_some() {
            return;
        }
        let code = if fault.is_some() { Code::AppendFailed } else { Code::AppendTaken };
        let detail = fault.unwrap_or_default();
        self.events.record(code, Fields { subject: CLAIM_STREAM, detail: &detail });
    }
}

/// Appends what waits, for as long as the process lives. The claims count when
/// they are read back, whatever became of the reply.
pub(crate) async fn append_claims(
    log: LogClient,
    desk: Arc<OnceCoordinator>,
    view: Arc<ViewCell>,
    events: Arc<EventLog>,
) {
    let health = Arc::new(Health { events, failing: AtomicBool::new(false) });
    let room = Arc::new(Semaphore::new(MAX_APPENDS));
    let mut pace = AppendLimiter::new(desk.now_ms());
    loop {
        desk.waiting.notified().await;
        loop {
            sleep(desk.settings().batch).await;
            if !desk.has_pending() {
                break;
            }
            let routers = view.peek().routers.len();
            while let Err(wait) = pace.take(desk.now_ms(), routers, desk.settings().appends) {
                sleep(Duration::from_millis(wait)).await;
            }
            log.wait_for_budget_within(CLAIM_DEBT, CLAIM_PACE).await;
            let Ok(permit) = Arc::clone(&room).acquire_owned().await else {
                return;
            };
            let claims = desk.take_pending(MAX_CLAIMS);
            if claims.is_empty() {
                break;
            }
            let log = log.clone();
            let desk = Arc::clone(&desk);
            let health = Arc::clone(&health);
            tokio::spawn(async move {
                append(&log, &desk, &health, claims).await;
                drop(permit);
            });
        }
    }
}

async fn append(
    log: &LogClient,
    desk: &OnceCoordinator,
    health: &Health,
    claims: Vec<(u64, Claim)>,
) {
    let wire = WireClaims::new(desk.me(), claims.iter().map(|it| &it.1));
    let body: Value = serde_json::to_value(wire).unwrap_or_default();
    let result = log.append(CLAIM_STREAM, &body).await;
    health.note(&result);
    match result {
        Err(PlatformError::Status { status: BUSY, .. }) => {
            sleep(BUSY_PAUSE).await;
            desk.requeue(claims);
            desk.waiting.notify_one();
        }
        Err(PlatformError::Status { .. }) => desk.fail(&claims),
        // A lost reply: the tail reads the claims back if they are there.
        Ok(_) | Err(_) => {}
    }
}
