//! Changes of keyed records, as read from a store.

use crate::wire::WirePosition;

/// A change of the record of one key.
#[derive(Debug, Clone)]
pub struct Change<T> {
    /// Key of the record.
    pub key: String,
    /// Its newest value, or why that cannot be read; `None` when the record is gone.
    pub value: Option<Result<T, String>>,
}

key! {
    /// The state that a store's positions refer to: after it was restored from a copy, positions
    /// are given out again.
    #[derive(Default)]
    pub enum StoreEra {
        /// The store does not name it.
        #[default]
        Unnamed,
        /// Counted by the store.
        Number(u64),
        /// What the store says cannot be read.
        Unreadable,
    }

    /// A position in the records of a store.
    #[derive(Default)]
    pub struct Position {
        /// The state that it refers to.
        pub era: StoreEra,
        /// Number of the record.
        pub offset: u64,
    }
}

impl StoreEra {
    /// This era, or `former` if the store does not tell it.
    pub fn or(self, former: StoreEra) -> StoreEra {
        match self {
            StoreEra::Number(_) => self,
            StoreEra::Unnamed | StoreEra::Unreadable => former,
        }
    }

    /// Whether this era is known to be earlier than `other`.
    pub fn is_before(self, other: StoreEra) -> bool {
        matches!((self, other), (StoreEra::Number(a), StoreEra::Number(b)) if a < b)
    }

    /// Whether the store was restored between `former` and this era.
    pub fn follows(self, former: StoreEra) -> bool {
        // Any other number counts: the answer may also be a late one of an earlier era.
        matches!((former, self), (StoreEra::Number(a), StoreEra::Number(b)) if a != b)
    }
}

impl Position {
    /// Whether what is known up to here is older than what is known up to `other`. Positions of
    /// which one does not tell the state of the store cannot be compared; nor can the default.
    pub fn is_before(self, other: Position) -> bool {
        match (self.era, other.era) {
            (StoreEra::Number(a), StoreEra::Number(b)) if a != b => a < b,
            (a, b) => a == b && self != Position::default() && self.offset < other.offset,
        }
    }
}

impl From<Position> for WirePosition {
    fn from(it: Position) -> WirePosition {
        match it.era {
            StoreEra::Number(era) => WirePosition(Some(era), it.offset),
            StoreEra::Unnamed | StoreEra::Unreadable => WirePosition(None, it.offset),
        }
    }
}

impl From<WirePosition> for Position {
    fn from(WirePosition(era, offset): WirePosition) -> Position {
        Position { era: era.map_or(StoreEra::Unnamed, StoreEra::Number), offset }
    }
}

/// A sequence of changes.
#[derive(Debug, Clone)]
pub struct Page<T> {
    /// The changes in order.
    pub changes: Vec<Change<T>>,
    /// Position at which the next read continues; the default if it is not known.
    pub next: Position,
    /// It lists all records: keys that are not listed do not exist.
    pub is_complete: bool,
    /// No record was left to be read after it when it was read.
    pub is_last: bool,
}
