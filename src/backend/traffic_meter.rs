//! Counter of the bytes of control requests.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::fleet::Purpose;

/// Bytes of control requests and probes by purpose, sent and received, with headers.
#[derive(Debug, Default)]
pub struct TrafficMeter {
    /// Counters in the order of [`Purpose`].
    bytes: [AtomicU64; Purpose::COUNT],
}

impl TrafficMeter {
    /// Counts bytes sent or received for `purpose`.
    pub fn add(&self, purpose: Purpose, bytes: usize) {
        self.bytes[purpose as usize].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Bytes for `purpose` so far.
    pub fn bytes_for(&self, purpose: Purpose) -> u64 {
        self.bytes[purpose as usize].load(Ordering::Relaxed)
    }

    /// All bytes so far.
    pub fn total(&self) -> u64 {
        Purpose::ALL.iter().map(|it| self.bytes_for(*it)).sum()
    }
}
