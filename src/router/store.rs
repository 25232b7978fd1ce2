//! The interface to the platform's store, which keeps the state of routers.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use crate::rules::OperatorPage;
use crate::servers::{Change, Page, Position, ServerRecord, StoreEra};
use crate::wire::{WireRouter, WireStoredBlame, WireStreamRecord};

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The store no longer keeps the records that come next; the full state has to be read.
    Gap,
    /// The store refused the call with this status.
    Refused(u16),
    /// There was no complete answer. A write may have been applied.
    Unreachable(String),
    /// A message cannot be decoded or encoded.
    Unreadable(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Gap => f.write_str("the store no longer keeps the next records"),
            StoreError::Refused(status) => {
                write!(f, "the store refused the call with status {status}")
            }
            StoreError::Unreachable(reason) => write!(f, "the store is unreachable: {reason}"),
            StoreError::Unreadable(reason) => write!(f, "invalid data: {reason}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// What routers have written to the store.
#[derive(Debug, Default)]
pub struct Announcements {
    /// Where the next read continues.
    pub next: Position,
    /// All routers that ever announced themselves, the latest announcement of each name.
    pub routers: Vec<WireRouter>,
    /// Prompt parts that are blamed for crashes.
    pub blamed: Vec<WireStoredBlame>,
    /// Streams and software versions that streams may begin at.
    pub streams: Vec<Change<WireStreamRecord>>,
}

/// A record of streams or of a software version that is written to the store.
#[derive(Debug, Clone)]
pub struct StreamRecord {
    /// Its key.
    pub key: String,
    /// Its value; a record without one is removed.
    pub value: Option<WireStreamRecord>,
}

/// The store. A method makes its call once; the router decides when to call and when to
/// retry.
pub trait Store: Send + Sync + 'static {
    /// Records of operators: all of them, or what was written at offset `from` and later. The store waits
    /// up to `wait` for such a write.
    fn rules(
        &self,
        from: Option<u64>,
        wait: Duration,
    ) -> impl Future<Output = Result<OperatorPage, StoreError>> + Send;

    /// Records of backend servers: all, or what was written at offset `from` and later.
    fn servers(
        &self,
        from: Option<u64>,
    ) -> impl Future<Output = Result<Page<ServerRecord>, StoreError>> + Send;

    /// All that routers have written.
    fn announcements(&self) -> impl Future<Output = Result<Announcements, StoreError>> + Send;

    /// The changes of stream records that were written at offset `from` and later.
    fn stream_records(
        &self,
        from: u64,
    ) -> impl Future<Output = Result<Page<WireStreamRecord>, StoreError>> + Send;

    /// Writes stream records, all or none. With `at`, only if nothing was written at that position
    /// or later. Idempotent without it.
    fn put_stream_records(
        &self,
        records: &[StreamRecord],
        at: Option<Position>,
    ) -> impl Future<Output = Result<StoreEra, StoreError>> + Send;

    /// Announces this router, so that other routers find it; returns the state of the store that
    /// holds it. Idempotent.
    fn announce(
        &self,
        own: &WireRouter,
    ) -> impl Future<Output = Result<StoreEra, StoreError>> + Send;

    /// Writes a blamed prompt part. Idempotent.
    fn put_blame(
        &self,
        blame: &WireStoredBlame,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Removes a prompt part that is not blamed any more. Idempotent.
    fn remove_blame(&self, part: u64) -> impl Future<Output = Result<(), StoreError>> + Send;
}
