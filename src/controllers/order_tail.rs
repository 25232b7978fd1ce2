//! Reads the claims of engines from the log while there is something to claim.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::backend::{LogClient, PlatformError};
use crate::clock::SharedClock;
use crate::controllers::OrderParts;
use crate::decide::hash_bytes;
use crate::decide::orders::{Claim, ClaimKind, ClaimQueue};
use crate::events::{Code, EventLog, Fields};
use crate::wire::OrderRecord;

/// Stream of the claims of engines.
pub const ORDER_STREAM: &str = "filberttiller-orders";
/// Number of records before the end of the stream at which the first read begins.
const START_RECORDS: u64 = 128;
/// An offset beyond the end of every stream; a read there returns the stream's bounds.
const BEYOND_END: u64 = u64::MAX / 2;

/// Reader of the claims.
#[derive(Debug)]
pub(super) struct OrderTail {
    /// Open claims among those read.
    pub(super) claims: ClaimQueue,
    router: String,
    log: LogClient,
    events: Arc<EventLog>,
    clock: SharedClock,
    /// How long a claim stays open after it was read.
    claim_hold: Duration,
    /// First offset not read yet; `None` before the first read.
    next: Option<u64>,
    start: Instant,
    /// When the stream was last read to its end.
    read_at: Instant,
    /// Until this time open claims may be missing, so no claim may be made.
    incomplete_until: Instant,
}

impl OrderTail {
    /// A reader that has read nothing yet.
    pub(super) fn new(parts: &OrderParts) -> OrderTail {
        let now = parts.clock.now();
        OrderTail {
            claims: ClaimQueue::default(),
            router: parts.router.clone(),
            log: parts.log.clone(),
            events: Arc::clone(&parts.events),
            clock: Arc::clone(&parts.clock),
            claim_hold: parts.settings.hold,
            next: None,
            start: now,
            read_at: now,
            incomplete_until: now,
        }
    }

    /// Whether there may be open claims that were never read.
    pub(super) fn may_miss_claims(&self) -> bool {
        self.clock.now() < self.incomplete_until
    }

    /// Reads the stream to its end and drops expired claims.
    pub(super) async fn read(&mut self) -> Result<(), PlatformError> {
        self.read_to_end().await?;
        self.read_at = self.clock.now();
        let until = self.now_ms().saturating_sub(self.claim_hold.as_millis() as u64);
        self.claims.expire(until);
        Ok(())
    }

    fn now_ms(&self) -> u64 {
        self.clock.now().saturating_duration_since(self.start).as_millis() as u64
    }

    async fn read_to_end(&mut self) -> Result<(), PlatformError> {
        let log = self.log.clone();
        let stale = self.clock.now().saturating_duration_since(self.read_at) > self.claim_hold;
        let mut next = match self.next.filter(|_| !stale) {
            Some(it) => it,
            None => {
                log.wait_for_budget(0.0).await;
                let end = log.read(ORDER_STREAM, BEYOND_END, Duration::ZERO).await?;
                self.claims.clear();
                end.next.saturating_sub(START_RECORDS).max(end.first)
            }
        };
        loop {
            log.wait_for_budget(0.0).await;
            let page = log.read(ORDER_STREAM, next, Duration::ZERO).await?;
            if page.next < next || page.first > next {
                self.record_gap(next, page.first, page.next);
                next = page.first.max(next.min(page.next));
                self.next = Some(next);
                continue;
            }
            for it in page.records {
                next = it.offset + 1;
                self.apply(it.offset, it.body);
            }
            self.next = Some(next);
            if next >= page.next {
                return Ok(());
            }
        }
    }

    /// Handles records that the log dropped before they were read: some may be open
    /// claims, so no claim is made until all of them have expired.
    fn record_gap(&mut self, next: u64, first: u64, end: u64) {
        let detail = format!("expected offset {next}, the log holds {first} to {end}");
        let fields = Fields { subject: &self.router, detail: &detail };
        self.events.record(Code::OrderLogGap, fields);
        self.claims.clear();
        self.incomplete_until = self.clock.now() + self.claim_hold;
    }

    /// Applies one record; a malformed one is ignored.
    fn apply(&mut self, offset: u64, body: Value) {
        let now = self.now_ms();
        match serde_json::from_value(body) {
            Ok(OrderRecord::Claim { id, engine, unload, what, .. }) => {
                let kind = if unload { ClaimKind::Unload } else { ClaimKind::Load };
                let engine = hash_bytes(engine.as_bytes());
                let key = hash_bytes(what.as_bytes());
                self.claims.insert(offset, Claim { id, engine, kind, key }, now);
            }
            Ok(OrderRecord::Done(id)) => self.claims.close(id),
            Err(_) => {}
        }
    }
}
