//! Parts that were recently answered in full.

use std::collections::HashMap;
use std::time::Instant;

/// Parts in one generation.
const GENERATION_SIZE: usize = 8_192;

/// When each part was last answered in full. Bounded: two generations, of which the older
/// is dropped when the younger is full.
#[derive(Debug, Default)]
pub(crate) struct RecentParts {
    current: HashMap<u64, Instant>,
    former: HashMap<u64, Instant>,
}

impl RecentParts {
    /// Records that a request with `part` was answered in full.
    pub fn record(&mut self, part: u64, now: Instant) {
        if self.current.len() >= GENERATION_SIZE {
            self.former = std::mem::take(&mut self.current);
        }
        self.current.insert(part, now);
    }

    /// When a request with `part` was last answered in full.
    pub fn last(&self, part: u64) -> Option<Instant> {
        self.current.get(&part).or_else(|| self.former.get(&part)).copied()
    }
}
