//! Which parts were answered in full, and so crash no servers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::decide::parts::recent_parts::RecentParts;
use crate::decide::{AnsweredPart, Learnt, remove_oldest};

/// A part that was answered in full this long before a crash is not suspected of it.
const TRUST_TIME: Duration = Duration::from_secs(5);
/// How long an answer to a part under suspicion is stored.
const STORED_TIME: Duration = Duration::from_secs(600);
/// Limit of stored answers to parts under suspicion.
const MAX_SUSPECTED: usize = 512;
/// Limit of the answers in one message to another router.
const MAX_NEWS: usize = 16;

/// When parts were last answered in full.
#[derive(Debug, Default)]
pub(crate) struct AnsweredParts {
    /// All parts that this router saw answered.
    here: RecentParts,
    /// Parts under suspicion that were answered, here or at another router.
    suspected: HashMap<u64, Learnt<Instant>>,
}

impl AnsweredParts {
    /// Records that this router saw `part` answered.
    pub fn record(&mut self, part: u64, now: Instant) {
        self.here.record(part, now);
    }

    /// When `part` was last answered, as far as known.
    pub fn last(&self, part: u64) -> Option<Instant> {
        self.here.last(part).max(self.suspected.get(&part).map(|it| it.value))
    }

    /// Whether `part`, as it was answered, is not to blame for a crash at `at`.
    pub fn is_cleared(&self, part: u64, at: Instant) -> bool {
        self.last(part).is_some_and(|it| it + TRUST_TIME >= at)
    }

    /// Stores that `part`, under suspicion, was answered at `at`; others are told for a while
    /// after `learnt`.
    pub fn add_suspected(&mut self, part: u64, at: Instant, learnt: Instant) {
        let former = self.suspected.get(&part).map(|it| it.value);
        if former.is_none() && self.suspected.len() >= MAX_SUSPECTED {
            remove_oldest(&mut self.suspected);
        }
        let at = former.map_or(at, |it| it.max(at));
        self.suspected.insert(part, Learnt::new(at, learnt));
    }

    /// When others were last told that `part` was answered, and the answer they were told of.
    pub fn told(&self, part: u64) -> Option<&Learnt<Instant>> {
        self.suspected.get(&part)
    }

    /// Answers for other routers.
    pub fn news(&self, now: Instant) -> Vec<AnsweredPart> {
        let told = self.suspected.iter().filter(|(_, it)| it.is_news(now)).take(MAX_NEWS);
        told.map(|(part, it)| AnsweredPart { part: *part, at: it.value }).collect()
    }

    /// Removes stored answers that no longer count.
    pub fn remove_expired(&mut self, now: Instant) {
        self.suspected.retain(|_, it| now.saturating_duration_since(it.value) < STORED_TIME);
    }
}
