//! Counts the bytes of control calls.

use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes of control and probe calls, both ways, heads included.
#[derive(Debug, Default)]
pub struct Meter {
    sent: AtomicU64,
    received: AtomicU64,
}

impl Meter {
    /// Counts bytes sent.
    pub fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts bytes received.
    pub fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// All bytes so far.
    pub fn total(&self) -> u64 {
        self.sent.load(Ordering::Relaxed) + self.received.load(Ordering::Relaxed)
    }
}
