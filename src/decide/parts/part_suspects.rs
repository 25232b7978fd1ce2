//! Decides which parts of prompts crash backend servers, from what all routers have seen.

use std::collections::HashSet;
use std::time::Instant;

use smallvec::SmallVec;

use crate::decide::parts::answered_parts::AnsweredParts;
use crate::decide::parts::blamed_parts::BlamedParts;
use crate::decide::parts::cut_runs::{CutRuns, sum_points};
use crate::decide::{BlamedPart, CutRun, PartNews};

/// Points from which a part is blamed: three crashes of different servers at the begin of
/// an answer, or five at other moments.
const BLAME_POINTS: u32 = 5;
/// The same for a part whose blame has run out.
const PROBATION_POINTS: u32 = 2;
/// Points from which the runs that speak against a part are told to others again and again.
const SUSPICION_POINTS: u32 = 3;

key! {
    /// How a request is run, as far as the parts of its prompt matter.
    pub enum PartPolicy {
        /// Like any other request.
        Normal,
        /// As the only one with this part at a time; see [`PartSuspects::end_trial`].
        Trial(u64),
        /// Not at all, as this part crashes servers.
        Reject(u64),
    }

    /// A change of blame.
    pub enum PartChange {
        /// Requests with this part are refused from now on.
        Blamed(u64),
        /// A request with this part was answered, so that it is not blamed any more.
        Cleared(u64),
    }
}

/// Changes that one report caused.
type Changes = SmallVec<[PartChange; 2]>;

/// Parts of prompts under suspicion of crashing backend servers. All state is bounded.
#[derive(Debug, Default)]
pub struct PartSuspects {
    answered: AnsweredParts,
    runs: CutRuns,
    blamed: BlamedParts,
    /// Parts with a trial in progress on this router.
    trials: HashSet<u64>,
}

impl PartSuspects {
    /// Records a run that was cut off on this router.
    pub fn record_cut(&mut self, mut run: CutRun, now: Instant) -> Changes {
        run.parts.retain(|it| !self.answered.is_cleared(*it, run.at));
        self.add_run(run, now)
    }

    /// Records that a request with `parts` was answered in full on this router.
    pub fn record_answered(&mut self, parts: impl Iterator<Item = u64>, now: Instant) -> Changes {
        let mut changes = Changes::new();
        for part in parts {
            self.answered.record(part, now);
            if self.is_under_suspicion(part) {
                changes.extend(self.add_answer(part, now, now));
            }
        }
        changes
    }

    /// How a request with `parts` is run. A trial lasts until [`PartSuspects::end_trial`].
    pub fn policy(&mut self, parts: &[u64], now: Instant) -> PartPolicy {
        let mut trial = None;
        for part in parts.iter().copied() {
            match self.blamed.get(part) {
                Some(it) if !it.is_in_force(now) => trial = Some(part),
                Some(it) if self.has_other_cause(it, parts, now) => trial = Some(part),
                Some(_) => return PartPolicy::Reject(part),
                None => {}
            }
        }
        match trial {
            None => PartPolicy::Normal,
            Some(part) if self.trials.insert(part) => PartPolicy::Trial(part),
            Some(part) => PartPolicy::Reject(part),
        }
    }

    /// Ends the trial of `part` on this router.
    pub fn end_trial(&mut self, part: u64) {
        self.trials.remove(&part);
    }

    /// What this router tells the others now.
    pub fn news(&mut self, now: Instant) -> PartNews {
        let strong = if self.runs.is_empty() { HashSet::new() } else { self.strong_parts() };
        PartNews {
            runs: self.runs.news(&strong, now),
            answered: self.answered.news(now),
            blamed: self.blamed.news(now),
        }
    }

    /// Merges what another router told.
    pub fn merge(&mut self, news: PartNews, now: Instant) -> Changes {
        let mut changes = Changes::new();
        for it in news.answered {
            changes.extend(self.add_answer(it.part, it.at, now));
        }
        for run in news.runs {
            if self.runs.contains(&run) {
                continue;
            }
            for part in run.parts.iter().copied() {
                self.contradict(part, run.at, now);
            }
            changes.extend(self.add_run(run, now));
        }
        for it in news.blamed {
            changes.extend(self.add_blame(it, now));
        }
        changes
    }

    /// Parts that are or were blamed.
    pub fn blamed(&self) -> impl Iterator<Item = &BlamedPart> {
        self.blamed.all()
    }

    /// Removes what no longer counts.
    pub fn remove_expired(&mut self, now: Instant) {
        self.runs.remove_expired(now);
        self.answered.remove_expired(now);
        self.blamed.remove_expired(now);
    }

    /// Adds a run, and blames those of its parts against which there is enough.
    fn add_run(&mut self, run: CutRun, now: Instant) -> Changes {
        let mut changes = Changes::new();
        let parts = run.parts.clone();
        if self.runs.add(run, now) {
            for part in parts {
                changes.extend(self.judge(part).and_then(|it| self.add_blame(it, now)));
            }
        }
        changes
    }

    /// The blame of `part`, if there is enough against it.
    fn judge(&self, part: u64) -> Option<BlamedPart> {
        let needed = if self.blamed.get(part).is_some() { PROBATION_POINTS } else { BLAME_POINTS };
        if sum_points(self.counted_runs(part)) < needed {
            return None;
        }
        // Runs that say little are mostly beside the one that caused the crash.
        let most = self.counted_runs(part).map(|it| it.points).max()?;
        let mut runs = self.counted_runs(part).filter(|it| it.points == most);
        let first = runs.next()?;
        let companions = first.parts.iter().copied().filter(|it| *it != part).collect();
        let mut blame = BlamedPart { part, at: first.at, companions };
        for run in runs {
            blame.merge(run.at, &run.parts);
        }
        Some(blame)
    }

    fn add_blame(&mut self, blame: BlamedPart, now: Instant) -> Option<PartChange> {
        let part = blame.part;
        if blame.is_expired(now) || self.contradict(part, blame.at, now) {
            return None;
        }
        self.blamed.add(blame, now).then_some(PartChange::Blamed(part))
    }

    /// Records an answer to a part under suspicion, which ends its blame.
    fn add_answer(&mut self, part: u64, at: Instant, now: Instant) -> Option<PartChange> {
        let told = self.answered.told(part).cloned();
        if told.as_ref().is_some_and(|it| it.value >= at) {
            return None;
        }
        // Further answers say nothing new to others, unless there were crashes in between.
        let has_crash = |since: Instant| self.runs.with_part(part).any(|it| it.at > since);
        let known = told.filter(|it| self.blamed.get(part).is_none() && !has_crash(it.value));
        self.answered.add_suspected(part, at, known.map_or(now, |it| it.at));
        let blamed_at = self.blamed.get(part)?.at;
        let is_ended = self.answered.is_cleared(part, blamed_at) && self.blamed.remove(part);
        is_ended.then_some(PartChange::Cleared(part))
    }

    /// If `part` was answered around `at` or later, tells so to the others, of whom one
    /// suspects it of a crash at `at`.
    fn contradict(&mut self, part: u64, at: Instant, now: Instant) -> bool {
        let answer = self.answered.last(part).filter(|_| self.answered.is_cleared(part, at));
        if let Some(answer) = answer {
            self.answered.add_suspected(part, answer, now);
        }
        answer.is_some()
    }

    /// Whether the crashes may be due to a part that a request with `parts` does not have.
    fn has_other_cause(&self, blamed: &BlamedPart, parts: &[u64], now: Instant) -> bool {
        let mut others = blamed.companions.iter().filter(|it| !parts.contains(it));
        others.any(|it| self.blamed.is_in_force(*it, now))
    }

    fn is_under_suspicion(&self, part: u64) -> bool {
        self.blamed.get(part).is_some() || self.runs.with_part(part).next().is_some()
    }

    /// The runs that speak against `part`.
    fn counted_runs(&self, part: u64) -> impl Iterator<Item = &CutRun> {
        self.runs.with_part(part).filter(move |it| !self.answered.is_cleared(part, it.at))
    }

    /// Parts with some evidence against them that are not blamed yet.
    fn strong_parts(&self) -> HashSet<u64> {
        let unblamed = self.runs.parts().into_iter().filter(|it| self.blamed.get(*it).is_none());
        unblamed.filter(|it| sum_points(self.counted_runs(*it)) >= SUSPICION_POINTS).collect()
    }
}
