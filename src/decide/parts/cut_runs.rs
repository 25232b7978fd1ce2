//! The runs that were cut off by crashes, of all routers.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::decide::{CutRun, Learnt};

/// How long a cut run counts.
const RUN_TIME: Duration = Duration::from_secs(600);
/// Limit of stored runs; above it the oldest are dropped.
const MAX_RUNS: usize = 512;
/// Limit of the runs in one message to another router.
const MAX_NEWS: usize = 24;

/// Runs in the order in which they were learnt. Invariants: no two are the same, each has
/// parts and points.
#[derive(Debug, Default)]
pub(crate) struct CutRuns {
    runs: VecDeque<Learnt<CutRun>>,
}

impl CutRuns {
    /// Adds a run; false when it is known or says nothing.
    pub fn add(&mut self, run: CutRun, now: Instant) -> bool {
        if run.parts.is_empty() || run.points == 0 || self.contains(&run) {
            return false;
        }
        if self.runs.len() >= MAX_RUNS {
            self.runs.pop_front();
        }
        self.runs.push_back(Learnt::new(run, now));
        true
    }

    /// Whether a run is known that says the same.
    pub fn contains(&self, run: &CutRun) -> bool {
        self.runs.iter().any(|it| it.value.is_same(run))
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// The runs with `part`.
    pub fn with_part(&self, part: u64) -> impl Iterator<Item = &CutRun> {
        self.runs.iter().map(|it| &it.value).filter(move |it| it.parts.contains(&part))
    }

    /// All parts of the runs.
    pub fn parts(&self) -> HashSet<u64> {
        self.runs.iter().flat_map(|it| it.value.parts.iter().copied()).collect()
    }

    /// Runs for other routers, the latest first: what was learnt just now, and runs with one
    /// of the parts `strong`.
    pub fn news(&self, strong: &HashSet<u64>, now: Instant) -> Vec<CutRun> {
        let is_strong = |it: &CutRun| it.parts.iter().any(|part| strong.contains(part));
        let told = self.runs.iter().rev().filter(|it| it.is_news(now) || is_strong(&it.value));
        told.take(MAX_NEWS).map(|it| it.value.clone()).collect()
    }

    /// Removes runs that no longer count.
    pub fn remove_expired(&mut self, now: Instant) {
        self.runs.retain(|it| now.saturating_duration_since(it.value.at) < RUN_TIME);
    }
}

/// Sum of the points of `runs`: each crashed server counts once, by the run that says most.
pub(crate) fn sum_points<'a>(runs: impl Iterator<Item = &'a CutRun>) -> u32 {
    let mut servers: SmallVec<[(u64, u8); 8]> = SmallVec::new();
    for run in runs {
        match servers.iter_mut().find(|(server, _)| *server == run.server) {
            Some((_, points)) => *points = run.points.max(*points),
            None => servers.push((run.server, run.points)),
        }
    }
    servers.iter().map(|(_, points)| u32::from(*points)).sum()
}
