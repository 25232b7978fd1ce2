//! Follows the claims in the log.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::backend::LogClient;
use crate::events::{Code, EventLog, Fields};
use crate::once::OnceCoordinator;
use crate::settings::StateSync;
use crate::wire::{Page, WireClaims};

/// Debt in bytes up to which claims are appended and read at once.
pub(crate) const CLAIM_DEBT: f64 = -2_048.0;
/// Pause before an append, and before a read, in deeper debt: calls wait for their
/// claims, so that these are paced and not stopped.
pub(crate) const CLAIM_PACE: Duration = Duration::from_millis(500);
/// Stream of the claims.
pub const CLAIM_STREAM: &str = "filberttiller-claims";

/// Reads the stream for as long as the process lives.
pub(crate) async fn tail_claims(
    log: LogClient,
    desk: Arc<OnceCoordinator>,
    events: Arc<EventLog>,
    state_sync: StateSync,
) {
    let mut next = 0;
    let mut begun = false;
    let mut wait = Duration::ZERO;
    loop {
        log.wait_for_budget_within(CLAIM_DEBT, CLAIM_PACE).await;
        match log.read(CLAIM_STREAM, next, wait).await {
            Ok(page) => {
                if begun && (page.first > next || page.next < next) {
                    let detail = format!("expected {next}, kept {} to {}", page.first, page.next);
                    desk.note_gap();
                    events.record(Code::ClaimsGap, Fields { subject: "", detail: &detail });
                    next = page.first.max(next.min(page.next));
                    continue;
                }
                begun = true;
                next = page.records.last().map_or(page.next.max(next), |it| it.offset + 1);
                apply(&desk, &page);
                // Only at the end of the stream is the index complete.
                if next >= page.next {
                    desk.set_current(true);
                    wait = state_sync.log_wait;
                }
            }
            Err(_) => {
                desk.set_current(false);
                wait = Duration::ZERO;
                sleep(state_sync.retry_every).await;
            }
        }
    }
}

/// Applies one page; records of another form claim nothing.
fn apply(desk: &OnceCoordinator, page: &Page) {
    for record in &page.records {
        let Ok(wire) = serde_json::from_value::<WireClaims>(record.body.clone()) else {
            continue;
        };
        desk.apply_claims(&wire.claims());
    }
}
