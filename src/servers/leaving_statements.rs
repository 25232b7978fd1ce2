//! Which incarnations of backend servers have said that they leave.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::decide::{Learnt, remove_oldest};

/// Limit on the statements; beyond it, the oldest is dropped.
const MAX_STATEMENTS: usize = 4_096;
/// How long a statement is kept without a record of its server.
const RETENTION_TIME: Duration = Duration::from_secs(600);

/// Statements by incarnation. They outlive the records of their servers, as a record may be
/// removed, unreadable or ready again within one incarnation.
#[derive(Debug, Default)]
pub(crate) struct LeavingStatements {
    /// When each incarnation said so.
    by_incarnation: HashMap<u64, Learnt<Instant>>,
}

impl LeavingStatements {
    /// Adds a statement of the time `at`; false if one is known.
    pub fn insert(&mut self, incarnation: u64, at: Instant, now: Instant) -> bool {
        if self.contains(incarnation) {
            return false;
        }
        if self.by_incarnation.len() >= MAX_STATEMENTS {
            remove_oldest(&mut self.by_incarnation);
        }
        self.by_incarnation.insert(incarnation, Learnt::new(at, now));
        true
    }

    /// Whether the incarnation has said that it leaves.
    pub fn contains(&self, incarnation: u64) -> bool {
        self.by_incarnation.contains_key(&incarnation)
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_incarnation.is_empty()
    }

    /// All statements: the incarnation, when it said so, and whether other routers are told at once.
    pub fn all(&self, now: Instant) -> impl Iterator<Item = (u64, Instant, bool)> {
        self.by_incarnation.iter().map(move |(key, it)| (*key, it.value, it.is_news(now)))
    }

    /// Removes old statements of incarnations for which `has_record` is false.
    pub fn remove_expired(&mut self, now: Instant, has_record: impl Fn(u64) -> bool) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RETENTION_TIME;
        self.by_incarnation.retain(|key, it| is_recent(it.value) || has_record(*key));
    }
}
