//! Follows the ticket stream of the log.

use std::sync::Arc;

use tokio::time::sleep;
use xtra::Address;

use crate::backend::LogClient;
use crate::controllers::{Folded, Publisher};
use crate::events::{Code, EventLog, Fields};
use crate::settings::Control;
use crate::state::Ticket;
use crate::wire::{Record, WireTicket};

/// Stream to which operators publish tickets.
pub const TICKET_STREAM: &str = "tickets";

/// Reads the stream until the publisher is gone.
pub async fn tail_tickets(
    log: LogClient,
    publisher: Address<Publisher>,
    events: Arc<EventLog>,
    upkeep: Control,
) {
    let mut next = 0;
    let mut reachable = true;
    loop {
        match log.read(TICKET_STREAM, next, upkeep.log_wait).await {
            Ok(page) => {
                if !std::mem::replace(&mut reachable, true) {
                    events.record(Code::LogReachable, Fields::default());
                }
                let records: Vec<_> = page.records.into_iter().map(read_record).collect();
                next = records.last().map_or(next, |it| it.0 + 1);
                if publisher.send(Folded { records }).await.is_err() {
                    return;
                }
            }
            Err(e) => {
                if std::mem::replace(&mut reachable, false) {
                    let detail = e.to_string();
                    events.record(Code::LogUnreachable, Fields { subject: "", detail: &detail });
                }
                sleep(upkeep.retry_every).await;
            }
        }
    }
}

/// Reads one record as a ticket.
fn read_record(record: Record) -> (u64, Result<Ticket, String>) {
    let wire: Result<WireTicket, String> = serde_path_to_error::deserialize(record.body)
        .map_err(|e| format!("at `{}`: {}", e.path(), e.inner()));
    let ticket = wire.and_then(|it| Ticket::try_from(it).map_err(|e| e.to_string()));
    (record.offset, ticket)
}
