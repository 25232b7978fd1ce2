//! Follows the claims of engines in the log, while there is something to claim.

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
/// Records before the end that are read at the start.
const BACK: u64 = 128;
/// An offset beyond every stream.
const BEYOND: u64 = u64::MAX / 2;

/// Reader of the claims.
#[derive(Debug)]
pub(super) struct OrderTail {
    /// Open claims, as far as read.
    pub(super) book: ClaimQueue,
    router: String,
    log: LogClient,
    events: Arc<EventLog>,
    clock: SharedClock,
    /// How long a claim that was read holds.
    hold: Duration,
    /// First offset not yet read; `None` before the first read.
    next: Option<u64>,
    start: Instant,
    /// When the stream was last read to its end.
    read_at: Instant,
    /// No claims before this, as some may have been missed.
    blind_until: Instant,
}

impl OrderTail {
    /// A reader that has read nothing.
    pub(super) fn new(parts: &OrderParts) -> OrderTail {
        let now = parts.clock.now();
        OrderTail {
            book: ClaimQueue::default(),
            router: parts.router.clone(),
            log: parts.log.clone(),
            events: Arc::clone(&parts.events),
            clock: Arc::clone(&parts.clock),
            hold: parts.settings.hold,
            next: None,
            start: now,
            read_at: now,
            blind_until: now,
        }
    }

    /// Whether claims may be open that were never read.
    pub(super) fn is_blind(&self) -> bool {
        self.clock.now() < self.blind_until
    }

    /// Reads the stream to its end and forgets claims that are too old.
    pub(super) async fn read(&mut self) -> Result<(), PlatformError> {
        self.read_to_end().await?;
        self.read_at = self.clock.now();
        let until = self.now_ms().saturating_sub(self.hold.as_millis() as u64);
        self.book.expire(until);
        Ok(())
    }

    fn now_ms(&self) -> u64 {
        self.clock.now().saturating_duration_since(self.start).as_millis() as u64
    }

    async fn read_to_end(&mut self) -> Result<(), PlatformError> {
        let log = self.log.clone();
        let stale = self.clock.now().saturating_duration_since(self.read_at) > self.hold;
        let mut next = match self.next.filter(|_| !stale) {
            Some(it) => it,
            None => {
                log.wait_for_budget(0.0).await;
                let end = log.read(ORDER_STREAM, BEYOND, Duration::ZERO).await?;
                self.book.clear();
                end.next.saturating_sub(BACK).max(end.first)
            }
        };
        loop {
            log.wait_for_budget(0.0).await;
            let page = log.read(ORDER_STREAM, next, Duration::ZERO).await?;
            if page.next < next || page.first > next {
                self.note_gap(next, page.first, page.next);
                next = page.first.max(next.min(page.next));
                self.next = Some(next);
                continue;
            }
            for it in page.records {
                next = it.offset + 1;
                self.take(it.offset, it.body);
            }
            self.next = Some(next);
            if next >= page.next {
                return Ok(());
            }
        }
    }

    /// Claims may be open that were never read: none is made until they are over.
    fn note_gap(&mut self, next: u64, first: u64, end: u64) {
        let detail = format!("expected {next}, kept {first} to {end}");
        let fields = Fields { subject: &self.router, detail: &detail };
        self.events.record(Code::OrderLogGap, fields);
        self.book.clear();
        self.blind_until = self.clock.now() + self.hold;
    }

    /// Applies one record; one of another form claims nothing.
    fn take(&mut self, offset: u64, body: Value) {
        let now = self.now_ms();
        match serde_json::from_value(body) {
            Ok(OrderRecord::Claim { id, engine, unload, what, .. }) => {
                let kind = if unload { ClaimKind::Unload } else { ClaimKind::Load };
                let engine = hash_bytes(engine.as_bytes());
                let key = hash_bytes(what.as_bytes());
                self.book.insert(offset, Claim { id, engine, kind, key }, now);
            }
            Ok(OrderRecord::Done(id)) => self.book.close(id),
            Err(_) => {}
        }
    }
}
