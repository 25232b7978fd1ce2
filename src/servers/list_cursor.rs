//! How far a router has followed the lists of backend servers that readers of the store supply.

use std::net::SocketAddr;

key! {
    /// A revision of one table. Revisions of other tables count other changes.
    #[derive(Default)]
    pub struct TableRevision {
        /// Id of the table; 0 stands for none.
        pub table: u64,
        /// Number of the last change.
        pub number: u64,
    }
}

/// What a router has taken over from the reader that it polls.
#[derive(Debug, Default)]
pub struct ListCursor {
    reader: Option<SocketAddr>,
    known: TableRevision,
}

impl ListCursor {
    /// The revision to ask `reader` from; that of no table if another reader was polled last.
    ///
    /// Readers of earlier versions name their tables by start time, which several may share.
    pub fn known(&self, reader: SocketAddr) -> TableRevision {
        match self.reader == Some(reader) {
            true => self.known,
            false => TableRevision::default(),
        }
    }

    /// Continues after `known`, which `reader` has supplied.
    pub fn advance(&mut self, reader: SocketAddr, known: TableRevision) {
        self.reader = Some(reader);
        self.known = known;
    }
}
