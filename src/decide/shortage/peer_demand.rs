//! The demand that other routers tell of.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::decide::shortage::RankDemand;

/// How long the demand of a router counts after it told of it; a router that is silent or gone
/// no longer counts then.
const MAX_AGE: Duration = Duration::from_secs(5);
/// Limit on the routers whose demand is kept.
const MAX_ROUTERS: usize = 512;

#[derive(Debug, Clone)]
struct Entry {
    router: u64,
    at: Instant,
    ranks: SmallVec<[RankDemand; 4]>,
}

/// The demand for one service at other routers, as they last told of it.
#[derive(Debug, Clone, Default)]
pub struct PeerDemand {
    entries: Vec<Entry>,
}

impl PeerDemand {
    /// Records what `router` told at `at`; an older report changes nothing.
    pub fn record(&mut self, router: u64, ranks: SmallVec<[RankDemand; 4]>, at: Instant) {
        let entry = Entry { router, at, ranks };
        match self.entries.iter_mut().find(|it| it.router == router) {
            Some(it) if it.at > at => {}
            Some(it) => *it = entry,
            None => {
                if self.entries.len() < MAX_ROUTERS {
                    self.entries.push(entry);
                }
            }
        }
    }

    /// Removes what is too old to count.
    pub fn remove_expired(&mut self, now: Instant) {
        self.entries.retain(|it| now.saturating_duration_since(it.at) < MAX_AGE);
    }

    /// The demand of all routers, row by row.
    pub fn rows(&self) -> impl Iterator<Item = &RankDemand> {
        self.entries.iter().flat_map(|it| &it.ranks)
    }

    /// How long ago the oldest demand in use was told.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.entries.iter().map(|it| now.saturating_duration_since(it.at)).max()
    }

    /// Whether no other router tells of any.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
