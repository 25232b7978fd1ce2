//! Which incarnations of backend servers have said that they leave.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Limit on the statements; beyond it, the oldest is dropped.
const MAX_STATEMENTS: usize = 4_096;
/// How long a statement is kept without a record of its server.
const RETENTION_TIME: Duration = Duration::from_secs(600);
/// How long other routers are told of a statement at once.
const NEWS_TIME: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy)]
struct Statement {
    /// When the server said so.
    at: Instant,
    /// When this router learnt of it.
    learnt: Instant,
}

/// Statements by incarnation. They outlive the records of their servers, as a record may be
/// removed, unreadable or ready again within one incarnation.
#[derive(Debug, Default)]
pub(crate) struct LeavingStatements {
    by_incarnation: HashMap<u64, Statement>,
}

impl LeavingStatements {
    /// Adds a statement of the time `at`; false if one is known.
    pub fn insert(&mut self, incarnation: u64, at: Instant, now: Instant) -> bool {
        if self.contains(incarnation) {
            return false;
        }
        if self.by_incarnation.len() >= MAX_STATEMENTS {
            let oldest = self.by_incarnation.iter().min_by_key(|(_, it)| it.at);
            if let Some(oldest) = oldest.map(|(key, _)| *key) {
                self.by_incarnation.remove(&oldest);
            }
        }
        self.by_incarnation.insert(incarnation, Statement { at, learnt: now });
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
        let is_news = move |it: &Statement| now.saturating_duration_since(it.learnt) < NEWS_TIME;
        self.by_incarnation.iter().map(move |(key, it)| (*key, it.at, is_news(it)))
    }

    /// Removes old statements of incarnations for which `has_record` is false.
    pub fn remove_expired(&mut self, now: Instant, has_record: impl Fn(u64) -> bool) {
        let is_recent = |it: &Statement| now.saturating_duration_since(it.at) < RETENTION_TIME;
        self.by_incarnation.retain(|key, it| is_recent(it) || has_record(*key));
    }
}
