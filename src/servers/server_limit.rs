//! The limit of requests a second that a backend server names.

use std::time::Instant;

use crate::decide::{Learnt, LimitSenders};
use crate::servers::limit_share::LimitShare;

/// What a router may save up, in seconds of its share.
const BURST_S: f64 = 1.0;
/// Other limits within this share of the last one that was told are no change.
const SMALL_CHANGE: f64 = 0.1;

/// What a server last said of its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitStatement {
    /// Requests a second that it takes from all routers together; absent without a limit.
    pub limit: Option<f64>,
    /// When it said so.
    pub at: Instant,
}

key! {
    /// The effect of a statement.
    pub enum LimitChange {
        /// It says much what was known, or is older.
        None,
        /// The server names a limit.
        Begun,
        /// It names another limit.
        Changed,
        /// It no longer names one.
        Ended,
    }
}

/// The limit of one server, and what this router has left of its share.
#[derive(Debug, Default)]
pub(crate) struct ServerLimit {
    statement: Option<LimitStatement>,
    /// The limit after the last change.
    changed: Option<Learnt<Option<f64>>>,
    /// This router's share, for the limit stated.
    share: LimitShare,
}

impl ServerLimit {
    /// Takes a statement in, unless a later one is known.
    pub fn update(&mut self, statement: LimitStatement, now: Instant) -> LimitChange {
        if self.statement.is_some_and(|it| it.at >= statement.at) {
            return LimitChange::None;
        }
        let former = self.changed.as_ref().and_then(|it| it.value);
        self.statement = Some(statement);
        let change = match (former, statement.limit) {
            (None, None) => LimitChange::None,
            (None, Some(_)) => LimitChange::Begun,
            (Some(_), None) => LimitChange::Ended,
            (Some(old), Some(new)) if (new - old).abs() <= old * SMALL_CHANGE => LimitChange::None,
            (Some(_), Some(_)) => LimitChange::Changed,
        };
        if change != LimitChange::None {
            self.changed = Some(Learnt::new(statement.limit, now));
        }
        if matches!(change, LimitChange::Begun | LimitChange::Ended) {
            self.share.refill();
        }
        change
    }

    /// The limit in force.
    pub fn limit(&self) -> Option<f64> {
        self.statement?.limit
    }

    /// The last statement, if there ever was a limit.
    pub fn statement(&self) -> Option<LimitStatement> {
        self.changed.as_ref().and(self.statement)
    }

    /// Whether other routers are told of the last change at once.
    pub fn is_news(&self, now: Instant) -> bool {
        self.changed.as_ref().is_some_and(|it| it.is_news(now))
    }

    /// Sets the share of this router; `server` is the hash of the server's id.
    pub fn set_senders(&mut self, server: u64, senders: &LimitSenders) {
        self.share.set(self.limit().map_or(0.0, |it| senders.share(server, it)));
    }

    /// Whether this router may send a request now.
    pub fn has_allowance(&self, now: Instant) -> bool {
        self.limit().is_none() || self.share.is_left(now)
    }

    /// Counts a request of this router; false if its share is spent.
    pub fn take(&mut self, now: Instant) -> bool {
        self.limit().is_none() || self.share.take(BURST_S, now)
    }
}
