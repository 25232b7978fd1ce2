//! Follows the ticket stream of the log and writes snapshots to the log.

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio::time::{Instant, sleep};
use xtra::Address;

use crate::backend::{LogClient, PlatformError};
use crate::controllers::Publisher;
use crate::controllers::messages::{RecordsRead, SnapshotRead, TailPlan, TailQuery, TicketRecord};
use crate::controllers::publisher::LOG_FOLLOWERS;
use crate::events::{Code, EventLog, Fields};
use crate::settings::StateSync;
use crate::state::{InForce, Ticket, record_digest};
use crate::wire::{Page, Record, WireInForce, WireTicket};

/// Stream to which operators publish tickets.
pub const TICKET_STREAM: &str = "tickets";
/// Stream of snapshots of the state in force.
pub const SNAPSHOT_STREAM: &str = "snapshots";
/// Pause between two checks whether this router should follow the log.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Balance in bytes down to which the stream is read, so that a read is in progress
/// nearly always; the debt of a large page is paid off first.
const MIN_READ_BALANCE: f64 = -2_048.0;
/// Pause after new records, times the rank among the followers: in a burst the first
/// follower pays for the records as they come, and the others read many in one answer.
const STAGGER: Duration = Duration::from_millis(500);
/// A failed snapshot is retried after the pause between snapshots divided by this.
const SNAPSHOT_RETRY_DIVISOR: u32 = 10;
/// Maximum number of snapshots that are read to find a usable one, newest first.
const MAX_SNAPSHOTS_READ: u64 = 4;
/// An offset beyond the end of every stream; a read there returns the stream's bounds.
const BEYOND_END: u64 = u64::MAX / 2;

/// Follower of the ticket stream.
pub struct TicketTail {
    log: LogClient,
    publisher: Address<Publisher>,
    events: Arc<EventLog>,
    state_sync: StateSync,
    /// Whether the last record in force was found unchanged in the log.
    verified: bool,
    reachable: bool,
    /// Last event about the content of the log, so that it is recorded only once.
    last_event: Option<Code>,
    /// When the next snapshot is due.
    snapshot_at: Instant,
}

impl TicketTail {
    /// A follower that sends what it reads to `publisher`.
    pub fn new(
        log: LogClient,
        publisher: Address<Publisher>,
        events: Arc<EventLog>,
        state_sync: StateSync,
    ) -> TicketTail {
        TicketTail {
            log,
            publisher,
            events,
            state_sync,
            verified: false,
            reachable: true,
            last_event: None,
            snapshot_at: Instant::now(),
        }
    }

    /// Follows the stream while this router is chosen, until the publisher stops.
    pub async fn run(mut self) {
        while let Ok(plan) = self.publisher.send(TailQuery).await {
            if !plan.follow {
                self.verified = false;
                sleep(PLAN_INTERVAL).await;
                continue;
            }
            self.log.wait_for_budget(MIN_READ_BALANCE).await;
            let pause = match self.read_page(&plan).await {
                Ok(true) => Duration::ZERO,
                Ok(false) => self.state_sync.retry_every,
                Err(e) => {
                    self.record_unreachable(&e, &plan.state);
                    self.state_sync.retry_every
                }
            };
            sleep(pause).await;
        }
    }

    /// Reads one page; false when the log does not continue where the state ends.
    async fn read_page(&mut self, plan: &TailPlan) -> Result<bool, PlatformError> {
        let state = &plan.state;
        if !self.verified && !self.verify(state).await? {
            return Ok(false);
        }
        if plan.rank == 0 {
            self.write_snapshot(state).await;
        }
        let page = self.log.read(TICKET_STREAM, state.next, self.state_sync.log_wait).await?;
        self.record_reachable();
        if page.next < state.next {
            self.verified = false;
            return Ok(false);
        }
        if page.first > state.next {
            return self.restore(&page, state).await;
        }
        let has_records = !page.records.is_empty();
        let records = page.records.into_iter().map(read_record).collect();
        let folded = self.publisher.send(RecordsRead { records }).await.is_ok();
        if has_records {
            sleep(STAGGER * plan.rank.min(LOG_FOLLOWERS) as u32).await;
        }
        Ok(folded)
    }

    /// Compares the last record in force with the one in the log. It runs after every
    /// failure, to detect a log that was truncated and has grown again.
    async fn verify(&mut self, state: &InForce) -> Result<bool, PlatformError> {
        let Some(last) = state.next.checked_sub(1) else {
            self.verified = true;
            return Ok(true);
        };
        let page = self.log.read(TICKET_STREAM, last, Duration::ZERO).await?;
        self.record_reachable();
        let retained = page.first <= last && page.next > last;
        let same = match page.records.into_iter().next() {
            Some(it) if it.offset == last => record_digest(&read_record(it).ticket) == state.tip,
            _ => !retained && page.next >= state.next,
        };
        if same {
            self.verified = true;
            self.last_event = None;
        } else {
            let detail =
                format!("in force up to offset {}, the log ends at {}", state.next, page.next);
            self.record_once(Code::LogRewound, &detail);
        }
        Ok(same)
    }

    /// Restores the state from the newest usable snapshot when the log no longer has the
    /// next records.
    async fn restore(&mut self, page: &Page, state: &InForce) -> Result<bool, PlatformError> {
        let end = self.log.read(SNAPSHOT_STREAM, BEYOND_END, Duration::ZERO).await?;
        let oldest = end.first.max(end.next.saturating_sub(MAX_SNAPSHOTS_READ));
        for offset in (oldest..end.next).rev() {
            let found = self.log.read(SNAPSHOT_STREAM, offset, Duration::ZERO).await?;
            let body = found.records.into_iter().next().map(|it| it.body);
            let Some(found) = body.and_then(read_snapshot) else {
                continue;
            };
            if found.next >= page.first && found.next > state.next {
                self.last_event = None;
                return Ok(self.publisher.send(SnapshotRead { state: found }).await.is_ok());
            }
        }
        let detail = format!("needs offset {}, the log begins at {}", state.next, page.first);
        self.record_once(Code::HistoryGap, &detail);
        Ok(false)
    }

    /// Writes a snapshot when one is due. A failed write is retried after a shorter pause
    /// and does not delay tickets.
    async fn write_snapshot(&mut self, state: &InForce) {
        if Instant::now() < self.snapshot_at || state.next == 0 {
            return;
        }
        let mut wire = WireInForce::from(state);
        wire.outcomes.clear();
        let body = serde_json::to_value(wire).unwrap_or(Value::Null);
        let every = self.state_sync.snapshot_every;
        if self.log.append(SNAPSHOT_STREAM, &body).await.is_err() {
            self.snapshot_at = Instant::now() + every / SNAPSHOT_RETRY_DIVISOR;
            return;
        }
        self.snapshot_at = Instant::now() + every;
        let detail = format!("offset {}", state.next);
        self.events.record(Code::SnapshotWritten, Fields { subject: "", detail: &detail });
    }

    fn record_once(&mut self, code: Code, detail: &str) {
        if self.last_event != Some(code) {
            self.last_event = Some(code);
            self.events.record(code, Fields { subject: "", detail });
        }
    }

    fn record_reachable(&mut self) {
        if !std::mem::replace(&mut self.reachable, true) {
            self.events.record(Code::LogReachable, Fields::default());
        }
    }

    fn record_unreachable(&mut self, error: &PlatformError, state: &InForce) {
        self.verified = false;
        if std::mem::replace(&mut self.reachable, false) {
            let detail = error.to_string();
            self.events.record(Code::LogUnreachable, Fields { subject: "", detail: &detail });
            if state.next == 0 {
                self.events.record(Code::NoState, Fields { subject: "", detail: &detail });
            }
        }
    }
}

/// Reads one record as a ticket.
fn read_record(record: Record) -> TicketRecord {
    let text = record.body.to_string();
    TicketRecord { offset: record.offset, ticket: read_body(record.body), text }
}

/// Reads the JSON text of a record as a ticket.
pub(super) fn read_text(text: &str) -> Result<Ticket, String> {
    serde_json::from_str(text).map_err(|e| e.to_string()).and_then(read_body)
}

fn read_body(body: Value) -> Result<Ticket, String> {
    let wire: Result<WireTicket, String> = serde_path_to_error::deserialize(body)
        .map_err(|e| format!("at `{}`: {}", e.path(), e.inner()));
    wire.and_then(|it| Ticket::try_from(it).map_err(|e| e.to_string()))
}

fn read_snapshot(body: Value) -> Option<InForce> {
    let wire: WireInForce = serde_json::from_value(body).ok()?;
    InForce::try_from(wire).ok()
}
