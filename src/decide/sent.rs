//! What this router has given to one engine.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};

/// Tokens given to one engine; shared by traffic and control.
#[derive(Debug, Default)]
pub struct Sent {
    /// Not yet done.
    in_flight: AtomicU64,
    /// Since the start of this router. Invariant: never falls.
    placed: AtomicU64,
    /// `placed` when the last report came. Invariant: at most `placed`.
    marked: AtomicU64,
    /// `placed` when the report before came. Invariant: at most `marked`.
    before: AtomicU64,
    /// Whether it refused a connection since the last report.
    down: AtomicBool,
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

    /// Notes that it refused a connection.
    pub fn fail(&self) {
        self.down.store(true, Relaxed);
    }

    /// Whether it refused a connection since the last report.
    pub fn is_down(&self) -> bool {
        self.down.load(Relaxed)
    }

    /// Notes that a load report came.
    pub fn mark(&self) {
        self.down.store(false, Relaxed);
        self.before.store(self.marked.load(Relaxed), Relaxed);
        self.marked.store(self.placed.load(Relaxed), Relaxed);
    }

    /// Tokens given since the last report came.
    pub fn fresh(&self) -> u64 {
        self.placed.load(Relaxed).saturating_sub(self.marked.load(Relaxed))
    }

    /// Tokens given between the last two reports.
    pub fn last_period(&self) -> u64 {
        self.marked.load(Relaxed).saturating_sub(self.before.load(Relaxed))
    }
}
