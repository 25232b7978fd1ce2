//! Where a router's state lasts.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use crate::rules::RuleSet;
use crate::servers::{Page, ServerRecord};
use crate::wire::WireRouter;

/// A call to the store that brought nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// What comes next is no longer kept; the whole state has to be read.
    Gap,
    /// It refused the call; the status.
    Refused(u16),
    /// No answer. A write may have been done.
    Unreachable(String),
    /// The answer cannot be read.
    Unreadable(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Gap => f.write_str("records are no longer kept"),
            StoreError::Refused(status) => write!(f, "refused with status {status}"),
            StoreError::Unreachable(why) => write!(f, "unreachable: {why}"),
            StoreError::Unreadable(why) => write!(f, "unreadable answer: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The store. Each call is made once; when and how often is decided by the router.
pub trait Store: Send + Sync + 'static {
    /// Rules: all of them, or what was written at `from` and later, waiting up to
    /// `wait` for it.
    fn rules(
        &self,
        from: Option<u64>,
        wait: Duration,
    ) -> impl Future<Output = Result<Page<RuleSet>, StoreError>> + Send;

    /// Records of backend servers: all, or what was written at `from` and later.
    fn servers(
        &self,
        from: Option<u64>,
    ) -> impl Future<Output = Result<Page<ServerRecord>, StoreError>> + Send;

    /// All routers that have ever announced themselves and were not replaced.
    fn routers(&self) -> impl Future<Output = Result<Vec<WireRouter>, StoreError>> + Send;

    /// Lets other routers find this one. Idempotent.
    fn announce(&self, own: &WireRouter) -> impl Future<Output = Result<(), StoreError>> + Send;
}
