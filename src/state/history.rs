//! Recent records of the ticket stream, for peers that lag behind.

use std::collections::VecDeque;

/// Bytes kept at most.
const MAX_BYTES: usize = 131_072;

/// Recent records as JSON text.
#[derive(Debug, Default)]
pub struct History {
    /// Offset, digest over all records before, and text.
    /// Invariant: offsets follow each other without gap.
    records: VecDeque<(u64, u64, String)>,
    bytes: usize,
}

impl History {
    /// Adds the record that was just folded onto the history with digest `chain`.
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

    /// Records from offset `from` on within `room` bytes, at least one; `None`
    /// when `from` is older than what is kept.
    pub fn since(&self, from: u64, room: usize) -> Option<Vec<(u64, String)>> {
        let first = self.records.front()?.0;
        let skip = from.checked_sub(first)? as usize;
        let mut left = room;
        let mut found: Vec<(u64, String)> = Vec::new();
        for it in self.records.iter().skip(skip) {
            if it.2.len() > left && !found.is_empty() {
                break;
            }
            left = left.saturating_sub(it.2.len());
            found.push((it.0, it.2.clone()));
        }
        Some(found)
    }

    /// Digest over all records before the one at `offset`, while that is kept.
    pub fn chain_before(&self, offset: u64) -> Option<u64> {
        let first = self.records.front()?.0;
        let index = offset.checked_sub(first)? as usize;
        self.records.get(index).map(|it| it.1)
    }
}
