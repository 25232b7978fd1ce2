//! What this router has given to one engine.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};

/// What was sent between two reports counts in part after the later one, which
/// cannot hold all of it yet: one in so many tokens.
const LATE_PART: u64 = 2;

/// Tokens given to one engine; shared by traffic and control.
#[derive(Debug, Default)]
pub struct SentTokens {
    /// Not yet done.
    in_flight: AtomicU64,
    /// What the last report cannot hold.
    recent: AtomicU64,
    /// Given since the last report.
    fresh: AtomicU64,
    /// Whether it refused a connection since the last report.
    down: AtomicBool,
    /// Sequence number of the report that was marked last.
    report: AtomicU64,
}

impl SentTokens {
    /// Counts a request of `tokens`.
    pub fn add(&self, tokens: u64) {
        self.in_flight.fetch_add(tokens, Relaxed);
        self.recent.fetch_add(tokens, Relaxed);
        self.fresh.fetch_add(tokens, Relaxed);
    }

    /// Counts a request of `tokens` as done.
    pub fn remove(&self, tokens: u64) {
        self.in_flight.fetch_sub(tokens, Relaxed);
    }

    /// Tokens not yet done.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Relaxed)
    }

    /// Tokens not yet done that the last report cannot hold.
    pub fn unreported(&self) -> u64 {
        self.recent.load(Relaxed).min(self.in_flight())
    }

    /// Notes that a load report came.
    pub fn record_report(&self) {
        let fresh = self.fresh.swap(0, Relaxed);
        self.recent.store(fresh / LATE_PART, Relaxed);
        self.down.store(false, Relaxed);
    }

    /// Notes that it refused a connection.
    pub fn mark_down(&self) {
        self.down.store(true, Relaxed);
    }

    /// Whether it refused a connection since the last report.
    pub fn is_down(&self) -> bool {
        self.down.load(Relaxed)
    }

    /// Notes that the report with sequence number `seq` is the newest; once each.
    pub fn record_report_once(&self, seq: u64) {
        if self.report.swap(seq, Relaxed) != seq {
            self.record_report();
        }
    }
}
