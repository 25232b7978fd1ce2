//! One stream of the log.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::time::Instant;

/// One record as returned to readers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Position in the stream, from 0.
    pub offset: u64,
    /// Appended value.
    pub body: Value,
}

/// Answer to a read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Oldest retained offset.
    pub first: u64,
    /// Offset of the next append.
    pub next: u64,
    /// Records from the requested offset on, in order.
    pub records: Vec<Record>,
}

/// Records with their append times.
#[derive(Debug, Default)]
pub(crate) struct Stream {
    first: u64,
    /// Invariant: the record at index `i` has offset `first + i`.
    records: VecDeque<(Instant, Value)>,
}

impl Stream {
    /// Appends a record and returns its offset.
    pub(crate) fn append(&mut self, now: Instant, body: Value) -> u64 {
        self.records.push_back((now, body));
        self.next() - 1
    }

    /// Offset of the next append.
    pub(crate) fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    /// Removes records older than `retention`.
    pub(crate) fn expire(&mut self, now: Instant, retention: Duration) {
        while let Some((at, _)) = self.records.front() {
            if now.duration_since(*at) <= retention {
                break;
            }
            self.records.pop_front();
            self.first += 1;
        }
    }

    /// Truncates the stream so that `next` is the next offset, as a faulty restore does.
    pub(crate) fn rewind(&mut self, next: u64) {
        let keep = next.saturating_sub(self.first) as usize;
        self.records.truncate(keep);
    }

    /// Up to `max` records from offset `from` on.
    pub(crate) fn read(&self, from: u64, max: usize) -> Page {
        let skip = from.saturating_sub(self.first) as usize;
        let records = self
            .records
            .iter()
            .enumerate()
            .skip(skip)
            .take(max)
            .map(|(i, (_, body))| Record { offset: self.first + i as u64, body: body.clone() })
            .collect();
        Page { first: self.first, next: self.next(), records }
    }
}
