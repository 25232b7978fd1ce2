//! What one incarnation of a router did with the keys that it owns.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Debug;

use crate::decide::once::{Op, Scope};

key! {
    /// Bounds of a ledger.
    pub struct LedgerLimits {
        /// Keys remembered at most.
        pub keys: usize,
        /// Bytes of kept answers at most.
        pub bytes: usize,
    }
}

/// What the owner does with a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Admission<A> {
    /// Run it, now, once.
    Run,
    /// It runs at present: wait for its end.
    Wait,
    /// It ran: this is the first answer.
    Answer(A),
    /// It ran to its end; the answer is no longer kept.
    Ran,
    /// It may have run; its end is not known and never will be.
    Lost,
    /// The key stands for another call.
    OtherBody,
    /// The key is too old; it never ran and never will.
    Expired,
    /// The key is older than the ledger's memory: it may have run.
    Forgotten,
    /// No room for another key; it did not run.
    Full,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RunOutcome<A> {
    /// With a whole answer of so many bytes; `None` when it is not kept.
    Answered(Option<(A, usize)>),
    /// Without; it may have run.
    Lost,
    /// It certainly did not run.
    NotRun,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Progress<A> {
    Running,
    Lost,
    Ran(Option<(A, usize)>),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Entry<A> {
    body: u64,
    progress: Progress<A>,
}

/// The memory of one incarnation.
///
/// Invariant: a key that began to run stays until no call under it can be
/// admitted, unless the run certainly did not take place.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ledger<A> {
    limits: LedgerLimits,
    entries: BTreeMap<Scope, Entry<A>>,
    /// When each entry may be forgotten, in the order of their first runs.
    expiries: VecDeque<(u64, Scope)>,
    /// Scopes with a kept answer, oldest first.
    kept: VecDeque<Scope>,
    bytes: usize,
}

impl<A: Clone + Debug> Ledger<A> {
    /// An empty ledger.
    pub fn new(limits: LedgerLimits) -> Ledger<A> {
        Ledger {
            limits,
            entries: BTreeMap::new(),
            expiries: VecDeque::new(),
            kept: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Decides on a call under a key that this incarnation issued `age_ms` ago and
    /// that is good for `good_ms`. What ran is remembered for twice that time, so
    /// that a key between the two can be refused truthfully.
    pub fn admit_issued(
        &mut self,
        op: &Op,
        age_ms: u64,
        good_ms: u64,
        now_ms: u64,
    ) -> Admission<A> {
        self.admit_aged(op, age_ms, good_ms, now_ms, Admission::Expired)
    }

    /// Decides on a call under a key that this incarnation claimed `age_ms` ago.
    /// Unlike an issued key, an old one may have had another owner before.
    pub fn admit_claimed(
        &mut self,
        op: &Op,
        age_ms: u64,
        good_ms: u64,
        now_ms: u64,
    ) -> Admission<A> {
        self.admit_aged(op, age_ms, good_ms, now_ms, Admission::Forgotten)
    }

    fn admit_aged(
        &mut self,
        op: &Op,
        age_ms: u64,
        good_ms: u64,
        now_ms: u64,
        too_old: Admission<A>,
    ) -> Admission<A> {
        if age_ms > 2 * good_ms {
            return Admission::Forgotten;
        }
        if age_ms > good_ms && !self.entries.contains_key(&op.scope) {
            return too_old;
        }
        self.admit(op, now_ms + (2 * good_ms).saturating_sub(age_ms), now_ms)
    }

    /// Decides on a call; if it is to run, the key is remembered until `until_ms`.
    pub fn admit(&mut self, op: &Op, until_ms: u64, now_ms: u64) -> Admission<A> {
        if let Some(entry) = self.entries.get(&op.scope) {
            return recall(entry, op);
        }
        self.expire(now_ms);
        if self.entries.len() >= self.limits.keys {
            return Admission::Full;
        }
        let entry = Entry { body: op.body, progress: Progress::Running };
        self.entries.insert(op.scope, entry);
        self.expiries.push_back((until_ms, op.scope));
        Admission::Run
    }

    /// What is known about a call, without admitting it.
    pub fn peek(&self, op: &Op) -> Option<Admission<A>> {
        self.entries.get(&op.scope).map(|it| recall(it, op))
    }

    /// Notes how the run of a key ended; only the first end counts.
    pub fn finish(&mut self, scope: Scope, ended: RunOutcome<A>) {
        let Some(entry) = self.entries.get_mut(&scope) else {
            return;
        };
        if !matches!(entry.progress, Progress::Running) {
            return;
        }
        match ended {
            RunOutcome::Answered(answer) => {
                let size = answer.as_ref().map(|it| it.1);
                entry.progress = Progress::Ran(answer);
                if let Some(size) = size {
                    self.kept.push_back(scope);
                    self.bytes += size;
                    self.drop_answers();
                }
            }
            RunOutcome::Lost => entry.progress = Progress::Lost,
            RunOutcome::NotRun => {
                self.entries.remove(&scope);
                if let Some(i) = self.expiries.iter().rposition(|it| it.1 == scope) {
                    self.expiries.remove(i);
                }
            }
        }
    }

    /// Keys remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of kept answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Drops the oldest answers, not their keys, until the rest has room.
    fn drop_answers(&mut self) {
        while self.bytes > self.limits.bytes {
            let Some(scope) = self.kept.pop_front() else {
                return;
            };
            self.drop_answer(scope);
        }
    }

    fn drop_answer(&mut self, scope: Scope) {
        if let Some(Entry { progress: Progress::Ran(answer), .. }) = self.entries.get_mut(&scope)
            && let Some((_, size)) = answer.take()
        {
            self.bytes -= size;
        }
    }

    /// Forgets keys that no call can be admitted under. A key that still runs
    /// stays, and with it all later ones.
    fn expire(&mut self, now_ms: u64) {
        while let Some(&(until, scope)) = self.expiries.front() {
            let running =
                self.entries.get(&scope).is_some_and(|it| matches!(it.progress, Progress::Running));
            if until >= now_ms || running {
                return;
            }
            self.drop_answer(scope);
            if let Some(i) = self.kept.iter().position(|it| *it == scope) {
                self.kept.remove(i);
            }
            self.entries.remove(&scope);
            self.expiries.pop_front();
        }
    }
}

/// What is known about a call under a remembered key.
fn recall<A: Clone>(entry: &Entry<A>, op: &Op) -> Admission<A> {
    if entry.body != op.body {
        return Admission::OtherBody;
    }
    match &entry.progress {
        Progress::Running => Admission::Wait,
        Progress::Lost => Admission::Lost,
        Progress::Ran(Some((answer, _))) => Admission::Answer(answer.clone()),
        Progress::Ran(None) => Admission::Ran,
    }
}
