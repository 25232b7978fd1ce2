//! Follows the ticket stream of the log and keeps snapshots there.

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio::time::{Instant, sleep};
use xtra::Address;

use crate::backend::{LogClient, PlatformError};
use crate::controllers::Publisher;
use crate::controllers::messages::{RecordsRead, SnapshotRead, TailPlan, TailQuery, TicketRecord};
use crate::controllers::publisher::TAILERS;
use crate::events::{Code, EventLog, Fields};
use crate::settings::StateSync;
use crate::state::{InForce, Ticket, record_digest};
use crate::wire::{Page, Record, WireInForce, WireTicket};

/// Stream to which operators publish tickets.
pub const TICKET_STREAM: &str = "tickets";
/// Stream of snapshots of the state in force.
pub const SNAPSHOT_STREAM: &str = "snapshots";
/// Pause between two looks whether this router should follow the log.
const PLAN_EVERY: Duration = Duration::from_millis(500);
/// Debt in bytes up to which the stream is read, so that a read is under way
/// nearly always; a large page is paid first.
const READ_DEBT: f64 = -2_048.0;
/// Pause after news, times the place among the followers: when many records come
/// at once, the later ones read in one answer what the first one pays for by and by.
const STAGGER: Duration = Duration::from_millis(500);
/// Part of the pause between snapshots after which a failed one is tried again.
const SNAPSHOT_RETRY_PART: u32 = 10;
/// Newest snapshots that are tried, one after the other.
const SNAPSHOT_TRIES: u64 = 4;
/// An offset beyond every stream.
const BEYOND: u64 = u64::MAX / 2;

/// Follower of the ticket stream.
pub struct TicketTail {
    log: LogClient,
    publisher: Address<Publisher>,
    events: Arc<EventLog>,
    state_sync: StateSync,
    /// Whether the log's last record was seen to be the one in force.
    verified: bool,
    reachable: bool,
    /// Last event about the log's content, so that it is told once.
    told: Option<Code>,
    /// When the next snapshot is due.
    snapshot_at: Instant,
}

impl TicketTail {
    /// A follower that feeds `publisher`.
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
            told: None,
            snapshot_at: Instant::now(),
        }
    }

    /// Follows the stream while this router is chosen, until the publisher is gone.
    pub async fn run(mut self) {
        while let Ok(plan) = self.publisher.send(TailQuery).await {
            if !plan.follow {
                self.verified = false;
                sleep(PLAN_EVERY).await;
                continue;
            }
            self.log.wait_for_budget(READ_DEBT).await;
            let pause = match self.step(&plan).await {
                Ok(true) => Duration::ZERO,
                Ok(false) => self.state_sync.retry_every,
                Err(e) => {
                    self.unreachable(&e, &plan.state);
                    self.state_sync.retry_every
                }
            };
            sleep(pause).await;
        }
    }

    /// One read; false when the log does not go on where the state ends.
    async fn step(&mut self, plan: &TailPlan) -> Result<bool, PlatformError> {
        let state = &plan.state;
        if !self.verified && !self.verify(state).await? {
            return Ok(false);
        }
        if plan.rank == 0 {
            self.write_snapshot(state).await;
        }
        let page = self.log.read(TICKET_STREAM, state.next, self.state_sync.log_wait).await?;
        self.reached();
        if page.next < state.next {
            self.verified = false;
            return Ok(false);
        }
        if page.first > state.next {
            return self.restore(&page, state).await;
        }
        let news = !page.records.is_empty();
        let records = page.records.into_iter().map(read_record).collect();
        let folded = self.publisher.send(RecordsRead { records }).await.is_ok();
        if news {
            sleep(STAGGER * plan.rank.min(TAILERS) as u32).await;
        }
        Ok(folded)
    }

    /// Compares the record before the end of the state with the log's, after every
    /// failure, so that a log that was cut back and grew again is found out.
    async fn verify(&mut self, state: &InForce) -> Result<bool, PlatformError> {
        let Some(last) = state.next.checked_sub(1) else {
            self.verified = true;
            return Ok(true);
        };
        let page = self.log.read(TICKET_STREAM, last, Duration::ZERO).await?;
        self.reached();
        let kept = page.first <= last && page.next > last;
        let same = match page.records.into_iter().next() {
            Some(it) if it.offset == last => record_digest(&read_record(it).ticket) == state.tip,
            _ => !kept && page.next >= state.next,
        };
        if same {
            self.verified = true;
            self.told = None;
        } else {
            let detail = format!("in force up to offset {}, the log has {}", state.next, page.next);
            self.tell(Code::LogRewound, &detail);
        }
        Ok(same)
    }

    /// Takes the newest readable snapshot, when the log lacks the next records.
    async fn restore(&mut self, page: &Page, state: &InForce) -> Result<bool, PlatformError> {
        let end = self.log.read(SNAPSHOT_STREAM, BEYOND, Duration::ZERO).await?;
        let oldest = end.first.max(end.next.saturating_sub(SNAPSHOT_TRIES));
        for offset in (oldest..end.next).rev() {
            let found = self.log.read(SNAPSHOT_STREAM, offset, Duration::ZERO).await?;
            let body = found.records.into_iter().next().map(|it| it.body);
            let Some(found) = body.and_then(read_snapshot) else {
                continue;
            };
            if found.next >= page.first && found.next > state.next {
                self.told = None;
                return Ok(self.publisher.send(SnapshotRead { state: found }).await.is_ok());
            }
        }
        let detail = format!("needs offset {}, the log begins at {}", state.next, page.first);
        self.tell(Code::HistoryGap, &detail);
        Ok(false)
    }

    /// Writes a snapshot when one is due; a failure is tried again before long and
    /// does not keep tickets waiting.
    async fn write_snapshot(&mut self, state: &InForce) {
        if Instant::now() < self.snapshot_at || state.next == 0 {
            return;
        }
        let mut wire = WireInForce::from(state);
        wire.outcomes.clear();
        let body = serde_json::to_value(wire).unwrap_or(Value::Null);
        let every = self.state_sync.snapshot_every;
        if self.log.append(SNAPSHOT_STREAM, &body).await.is_err() {
            self.snapshot_at = Instant::now() + every / SNAPSHOT_RETRY_PART;
            return;
        }
        self.snapshot_at = Instant::now() + every;
        let detail = format!("offset {}", state.next);
        self.events.record(Code::SnapshotWritten, Fields { subject: "", detail: &detail });
    }

    fn tell(&mut self, code: Code, detail: &str) {
        if self.told != Some(code) {
            self.told = Some(code);
            self.events.record(code, Fields { subject: "", detail });
        }
    }

    fn reached(&mut self) {
        if !std::mem::replace(&mut self.reachable, true) {
            self.events.record(Code::LogReachable, Fields::default());
        }
    }

    fn unreachable(&mut self, error: &PlatformError, state: &InForce) {
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
