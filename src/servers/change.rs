//! Changes of keyed records, as a source of state tells them.

/// What became of one key; `None` when its record is gone.
#[derive(Debug, Clone)]
pub struct Change<T> {
    /// Key of the record.
    pub key: String,
    /// Its newest value, or why it cannot be read.
    pub value: Option<Result<T, String>>,
}

/// Some changes in their order.
#[derive(Debug, Clone)]
pub struct Page<T> {
    /// The changes.
    pub changes: Vec<Change<T>>,
    /// Where to read on.
    pub next: u64,
    /// Keys that are not listed do not exist.
    pub is_complete: bool,
}
