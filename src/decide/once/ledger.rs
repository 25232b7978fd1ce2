//! The record of what one incarnation of a router did with the keys that it owns.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Debug;

use crate::decide::once::{Op, Scope};

key! {
    /// Limits of a ledger.
    pub struct LedgerLimits {
        /// Maximum number of keys.
        pub keys: usize,
        /// Maximum size of the stored answers in bytes.
        pub bytes: usize,
    }
}

/// What the owner of a key does with a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Admission<A> {
    /// Run it now, once.
    Run,
    /// It is running: wait until it ends.
    Wait,
    /// It ran: return the answer of the first run.
    Answer(A),
    /// It ran to completion; the answer is no longer stored.
    Ran,
    /// It may have run; the outcome is unknown and will remain so.
    Lost,
    /// The key belongs to another call.
    OtherBody,
    /// The key is too old; the call never ran and never will.
    Expired,
    /// The key is older than the ledger's retention: the call may have run.
    Forgotten,
    /// The ledger has no capacity for another key; the call did not run.
    Full,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RunOutcome<A> {
    /// With a complete answer, given with its size in bytes; `None` if it is not stored.
    Answered(Option<(A, usize)>),
    /// Without a complete answer; the call may have run.
    Lost,
    /// The call certainly did not run.
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

/// The keys and answers that one incarnation remembers.
///
/// Invariant: a key whose call began to run stays until no call under it can be
/// admitted, unless the run certainly did not take place.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ledger<A> {
    limits: LedgerLimits,
    entries: BTreeMap<Scope, Entry<A>>,
    /// Expiry times of the entries, in the order of their admission.
    expiries: VecDeque<(u64, Scope)>,
    /// Scopes with a stored answer, oldest first.
    answered: VecDeque<Scope>,
    /// Size of the stored answers.
    bytes: usize,
}

impl<A: Clone + Debug> Ledger<A> {
    /// Returns an empty ledger.
    pub fn new(limits: LedgerLimits) -> Ledger<A> {
        Ledger {
            limits,
            entries: BTreeMap::new(),
            expiries: VecDeque::new(),
            answered: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Decides on a call under a key that this incarnation issued `age_ms` ago and
    /// that is valid for `good_ms`. Keys whose calls ran are remembered for twice that time,
    /// so that for a key of an age between the two it is certain whether its call ran.
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
    /// Unlike an issued key, an old claimed key may have had another owner before.
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

    /// Decides on a call. If it is to run, its key is remembered until `until_ms`.
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

    /// Returns what is known about a call, without admitting it.
    pub fn peek(&self, op: &Op) -> Option<Admission<A>> {
        self.entries.get(&op.scope).map(|it| recall(it, op))
    }

    /// Records how the run under a key ended; only the first outcome counts.
    pub fn finish(&mut self, scope: Scope, outcome: RunOutcome<A>) {
        let Some(entry) = self.entries.get_mut(&scope) else {
            return;
        };
        if !matches!(entry.progress, Progress::Running) {
            return;
        }
        match outcome {
            RunOutcome::Answered(answer) => {
                let size = answer.as_ref().map(|it| it.1);
                entry.progress = Progress::Ran(answer);
                if let Some(size) = size {
                    self.answered.push_back(scope);
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

    /// Returns the number of remembered keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the size of the stored answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Drops the oldest answers, but not their keys, until the others fit into the limit.
    fn drop_answers(&mut self) {
        while self.bytes > self.limits.bytes {
            let Some(scope) = self.answered.pop_front() else {
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

    /// Drops the keys under which no call can be admitted any more. A key whose call still
    /// runs stays, and with it all keys admitted later.
    fn expire(&mut self, now_ms: u64) {
        while let Some(&(until, scope)) = self.expiries.front() {
            let running =
                self.entries.get(&scope).is_some_and(|it| matches!(it.progress, Progress::Running));
            if until >= now_ms || running {
                return;
            }
            self.drop_answer(scope);
            if let Some(i) = self.answered.iter().position(|it| *it == scope) {
                self.answered.remove(i);
            }
            self.entries.remove(&scope);
            self.expiries.pop_front();
        }
    }
}

/// Returns what is known about a call under a remembered key.
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
