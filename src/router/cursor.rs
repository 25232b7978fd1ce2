//! Where a router continues to read records from the store.

use crate::servers::{Position, StoreEra};

/// The position of the next read, and the state of the store that it belongs to.
#[derive(Debug, Default)]
pub(crate) struct Cursor {
    offset: Option<u64>,
    era: StoreEra,
}

impl Cursor {
    /// The offset of the next read; `None` if everything is to be read.
    pub fn offset(&self) -> Option<u64> {
        self.offset
    }

    /// The position of the next read; `None` if everything is to be read.
    pub fn position(&self) -> Option<Position> {
        self.offset.map(|offset| Position { era: self.era, offset })
    }

    /// Everything is to be read next.
    pub fn reset(&mut self) {
        self.offset = None;
    }

    /// Whether the store was restored between the last read and the one that ended at `next`.
    pub fn is_restored(&self, next: Position) -> bool {
        next.era.follows(self.era)
    }

    /// Whether the read that ended at `next` may have skipped records, as the store was restored
    /// after its position was given out.
    pub fn is_outdated(&self, next: Position) -> bool {
        self.offset.is_some() && self.is_restored(next)
    }

    /// Continues at `next`.
    pub fn advance(&mut self, next: Position) {
        self.offset = Some(next.offset);
        self.era = next.era.or(self.era);
    }
}
