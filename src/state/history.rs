//! Recent records of the ticket stream, for peers that lag behind.

use std::collections::VecDeque;

/// Limit of stored text, in bytes.
const MAX_BYTES: usize = 131_072;

/// Recent records as JSON text.
#[derive(Debug, Default)]
pub struct History {
    /// Offset, digest over all records before, and text.
    /// Invariant: offsets are consecutive.
    records: VecDeque<(u64, u64, String)>,
    bytes: usize,
}

impl History {
    /// Adds a record that was just folded; `chain` is the digest over all records
    /// before it.
    pub fn push(&mut self, offset: u64, chain: u64, text: String) {
        if self.records.back().is_some_and(|it| it.0 + 1 != offset) {
            self.records.clear();
            self.bytes = 0;
        }
        self.bytes += text.len();
        self.records.push_back((offset, chain, text));
        while self.bytes > MAX_BYTES && self.records.len() > 1 {
            if let Some((_, _, text)) = self.records.pop_front() {
                self.bytes -= text.len();
            }
        }
    }

    /// Records from offset `from` on within `max_bytes`, but at least one if there is
    /// any; `None` when `from` is older than what is stored.
    pub fn since(&self, from: u64, max_bytes: usize) -> Option<Vec<(u64, String)>> {
        let first = self.records.front()?.0;
        let skipped = from.checked_sub(first)? as usize;
        let mut remaining = max_bytes;
        let mut found: Vec<(u64, String)> = Vec::new();
        for (offset, _, text) in self.records.iter().skip(skipped) {
            if text.len() > remaining && !found.is_empty() {
                break;
            }
            remaining = remaining.saturating_sub(text.len());
            found.push((*offset, text.clone()));
        }
        Some(found)
    }

    /// Digest over all records before the one at `offset`; `None` when that one is
    /// not stored.
    pub fn chain_before(&self, offset: u64) -> Option<u64> {
        let first = self.records.front()?.0;
        let index = offset.checked_sub(first)? as usize;
        self.records.get(index).map(|it| it.1)
    }
}
