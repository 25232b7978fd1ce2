//! Recent records of the ticket stream, for peers that lag behind.

use std::collections::VecDeque;

/// Bytes kept at most.
const MAX_BYTES: usize = 131_072;

/// Recent records as JSON text.
#[derive(Debug, Default)]
pub struct History {
    /// Invariant: offsets follow each other without gap.
    records: VecDeque<(u64, String)>,
    bytes: usize,
}

impl History {
    /// Adds the record that was just folded.
    pub fn push(&mut self, offset: u64, text: String) {
        if self.records.back().is_some_and(|it| it.0 + 1 != offset) {
            self.records.clear();
            self.bytes = 0;
        }
        self.bytes += text.len();
        self.records.push_back((offset, text));
        while self.bytes > MAX_BYTES && self.records.len() > 1 {
            if let Some((_, text)) = self.records.pop_front() {
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
            if it.1.len() > left && !found.is_empty() {
                break;
            }
            left = left.saturating_sub(it.1.len());
            found.push(it.clone());
        }
        Some(found)
    }
}
