//! Ids of tables.

/// Distinguishes the revisions of one table from those of any other. Drawn at random: start times
/// do not, as the routers of a fleet start within the same millisecond.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TableId(pub u64);

impl Default for TableId {
    fn default() -> TableId {
        // 0 stands for no table.
        TableId(rand::random::<u64>().max(1))
    }
}
