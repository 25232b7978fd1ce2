//! Reads the claim stream of the log.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::backend::LogClient;
use crate::events::{Code, EventLog, Fields};
use crate::once::OnceCoordinator;
use crate::settings::StateSync;
use crate::wire::{Page, WireClaims};

/// Minimum balance of the byte budget, here a debt, at which claims are appended and
/// read without a pause.
pub(crate) const MIN_CLAIM_BALANCE_BYTES: f64 = -2_048.0;
/// Maximum pause before an append or a read below that balance. Calls wait for their
/// claims, so claims are slowed down but never stopped.
pub(crate) const MAX_CLAIM_PAUSE: Duration = Duration::from_millis(500);
/// Name of the stream of claims.
pub const CLAIM_STREAM: &str = "filberttiller-claims";

/// Reads the claim stream until the process ends.
pub(crate) async fn tail_claims(
    log: LogClient,
    coordinator: Arc<OnceCoordinator>,
    events: Arc<EventLog>,
    state_sync: StateSync,
) {
    let mut next = 0;
    let mut has_begun = false;
    let mut wait = Duration::ZERO;
    loop {
        log.wait_for_budget_within(MIN_CLAIM_BALANCE_BYTES, MAX_CLAIM_PAUSE).await;
        match log.read(CLAIM_STREAM, next, wait).await {
            Ok(page) => {
                if has_begun && (page.first > next || page.next < next) {
                    let detail = format!(
                        "expected offset {next}, the log holds {} to {}",
                        page.first, page.next
                    );
                    coordinator.record_gap();
                    events.record(Code::ClaimsGap, Fields { subject: "", detail: &detail });
                    next = page.first.max(next.min(page.next));
                    continue;
                }
                has_begun = true;
                next = page.records.last().map_or(page.next.max(next), |it| it.offset + 1);
                apply(&coordinator, &page);
                // The index is complete only at the end of the stream.
                if next >= page.next {
                    coordinator.set_current(true);
                    wait = state_sync.log_wait;
                }
            }
            Err(_) => {
                coordinator.set_current(false);
                wait = Duration::ZERO;
                sleep(state_sync.retry_every).await;
            }
        }
    }
}

/// Applies the claims of one page; malformed records are skipped.
fn apply(coordinator: &OnceCoordinator, page: &Page) {
    for record in &page.records {
        let Ok(wire) = serde_json::from_value::<WireClaims>(record.body.clone()) else {
            continue;
        };
        coordinator.apply_claims(&wire.claims());
    }
}
