//! Tokens that this router has sent to one engine.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};

/// Of the tokens sent between two reports, one in this many still counts after the later
/// report, which cannot contain all of them yet.
const LATE_DIVISOR: u64 = 2;

/// Tokens sent to one engine; shared by the request path and the control loops.
#[derive(Debug, Default)]
pub struct SentTokens {
    /// Tokens of requests that are not finished.
    in_flight: AtomicU64,
    /// Tokens that the last report cannot contain.
    recent: AtomicU64,
    /// Tokens sent since the last report.
    since_report: AtomicU64,
    /// Whether the engine refused a connection since the last report.
    down: AtomicBool,
    /// Sequence number of the last recorded report.
    report: AtomicU64,
}

impl SentTokens {
    /// Counts a request of `tokens` as sent.
    pub fn add(&self, tokens: u64) {
        self.in_flight.fetch_add(tokens, Relaxed);
        self.recent.fetch_add(tokens, Relaxed);
        self.since_report.fetch_add(tokens, Relaxed);
    }

    /// Counts a request of `tokens` as finished.
    pub fn remove(&self, tokens: u64) {
        self.in_flight.fetch_sub(tokens, Relaxed);
    }

    /// Tokens of requests that are not finished.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Relaxed)
    }

    /// Tokens of unfinished requests that the last report cannot contain.
    pub fn unreported(&self) -> u64 {
        self.recent.load(Relaxed).min(self.in_flight())
    }

    /// Records that a load report was received.
    pub fn record_report(&self) {
        let sent = self.since_report.swap(0, Relaxed);
        self.recent.store(sent / LATE_DIVISOR, Relaxed);
        self.down.store(false, Relaxed);
    }

    /// Records that the engine refused a connection.
    pub fn mark_down(&self) {
        self.down.store(true, Relaxed);
    }

    /// Whether the engine refused a connection since the last report.
    pub fn is_down(&self) -> bool {
        self.down.load(Relaxed)
    }

    /// Records the load report with sequence number `seq`, unless it is the last recorded one.
    pub fn record_report_once(&self, seq: u64) {
        if self.report.swap(seq, Relaxed) != seq {
            self.record_report();
        }
    }
}
