//! What this router has given to one engine.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Tokens given to one engine; shared by traffic and control.
#[derive(Debug, Default)]
pub struct Sent {
    /// Not yet done.
    in_flight: AtomicU64,
    /// Since the start of this router. Invariant: never falls.
    placed: AtomicU64,
    /// `placed` when the last report came. Invariant: at most `placed`.
    marked: AtomicU64,
    /// Sequence number of the report that was marked last.
    report: AtomicU64,
}

impl Sent {
    /// Counts a request of `tokens`.
    pub fn add(&self, tokens: u64) {
        self.in_flight.fetch_add(tokens, Relaxed);
        self.placed.fetch_add(tokens, Relaxed);
    }

    /// Counts a request of `tokens` as done.
    pub fn remove(&self, tokens: u64) {
        self.in_flight.fetch_sub(tokens, Relaxed);
    }

    /// Tokens not yet done.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Relaxed)
    }

    /// Notes that a load report came.
    pub fn mark(&self) {
        self.marked.store(self.placed.load(Relaxed), Relaxed);
    }

    /// Notes that the report with sequence number `seq` is the newest; once each.
    pub fn mark_report(&self, seq: u64) {
        if self.report.swap(seq, Relaxed) != seq {
            self.mark();
        }
    }

    /// Tokens given since the last report came.
    pub fn fresh(&self) -> u64 {
        self.placed.load(Relaxed).saturating_sub(self.marked.load(Relaxed))
    }
}
