//! Changes of a table, as a reader supplies them to other routers.

use crate::servers::{Position, ServerRecord, TableRevision};

/// The changes of a table after a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct TableChanges {
    /// The last change.
    pub revision: TableRevision,
    /// What the table was read up to in the store.
    pub position: Position,
    /// All servers are listed: those that are not do not exist.
    pub is_complete: bool,
    /// Changed servers by id; those without a record are gone or cannot be used.
    pub entries: Vec<(String, Option<ServerRecord>)>,
}
