//! The callers that this router told to come back.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

/// Limit on the callers that are remembered.
const MAX_CALLERS: usize = 4_096;

#[derive(Debug, Clone)]
struct Told {
    caller: u64,
    until: Instant,
}

/// Until when callers were told to stay away. A caller is the hash of what stays the same when
/// it repeats a request.
#[derive(Debug, Clone, Default)]
pub struct RefusedCallers {
    until: HashMap<u64, Instant>,
    /// In the order in which they were told.
    told: VecDeque<Told>,
}

impl RefusedCallers {
    /// Records that `caller` was told to come back at `until`.
    pub fn record(&mut self, caller: u64, until: Instant, now: Instant) {
        let is_past = |it: &Told| it.until <= now;
        while self.told.len() >= MAX_CALLERS || self.told.front().is_some_and(is_past) {
            let Some(it) = self.told.pop_front() else {
                break;
            };
            if self.until.get(&it.caller) == Some(&it.until) {
                self.until.remove(&it.caller);
            }
        }
        self.until.insert(caller, until);
        self.told.push_back(Told { caller, until });
    }

    /// Whether `caller` comes earlier than it was told to.
    pub fn is_early(&self, caller: u64, now: Instant) -> bool {
        self.until.get(&caller).is_some_and(|until| now < *until)
    }
}
