//! Changes of keyed records, as read from a store.

/// A change of the record of one key.
#[derive(Debug, Clone)]
pub struct Change<T> {
    /// Key of the record.
    pub key: String,
    /// Its newest value, or why that cannot be read; `None` when the record is gone.
    pub value: Option<Result<T, String>>,
}

/// A sequence of changes.
#[derive(Debug, Clone)]
pub struct Page<T> {
    /// The changes in order.
    pub changes: Vec<Change<T>>,
    /// Position at which the next read continues.
    pub next: u64,
    /// It lists all records: keys that are not listed do not exist.
    pub is_complete: bool,
}
