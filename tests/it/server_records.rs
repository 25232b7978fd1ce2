//! Records of backend servers, and tables to which they are applied, shared by several tests.

use std::time::Instant;

use filberttiller::servers::{
    Change, Effect, Page, Position, ServerRecord, ServerState, ServerTable,
};

use crate::support::server_record;

/// A record of the incarnation that started at `born`.
pub(crate) fn record(born: u64, sequence: u64, state: ServerState) -> ServerRecord {
    ServerRecord { state, born, sequence, ..server_record() }
}

/// The record of a server that takes work.
pub(crate) fn ready(born: u64, sequence: u64) -> ServerRecord {
    record(born, sequence, ServerState::Ready)
}

/// A change that writes `record`.
pub(crate) fn put(key: &str, record: ServerRecord) -> Change<ServerRecord> {
    Change { key: key.to_owned(), value: Some(Ok(record)) }
}

/// A change that removes a record.
pub(crate) fn gone(key: &str) -> Change<ServerRecord> {
    Change { key: key.to_owned(), value: None }
}

/// Applies changes at an unknown position; returns the effect of each.
pub(crate) fn apply(
    table: &mut ServerTable,
    changes: Vec<Change<ServerRecord>>,
    is_complete: bool,
    now: Instant,
) -> Vec<(String, Effect)> {
    let mut effects = Vec::new();
    let page = Page { changes, next: Position::default(), is_complete, is_last: true };
    table.apply(page, now, |id, effect| effects.push((id.to_owned(), effect)));
    effects
}

/// Ids of the servers that take work, in order.
pub(crate) fn ids(table: &ServerTable) -> Vec<String> {
    let mut ids: Vec<String> = table.all().map(|it| it.id.to_string()).collect();
    ids.sort();
    ids
}

/// Incarnation of the only server of `table`.
pub(crate) fn incarnation(table: &ServerTable) -> u64 {
    table.all().next().unwrap().incarnation()
}

/// A change that writes a record which cannot be read.
pub(crate) fn unreadable(key: &str) -> Change<ServerRecord> {
    Change { key: key.to_owned(), value: Some(Err("malformed".to_owned())) }
}
