//! The order of claims in the log.

use std::collections::{BTreeMap, VecDeque};

use crate::decide::once::{Op, Owner, Scope};

key! {
    /// A router wants to own an operation key.
    pub struct Claim {
        /// Who claims.
        pub owner: Owner,
        /// What it claims.
        pub op: Op,
    }

    /// A key that is owned.
    pub struct ClaimRecord {
        /// Who may run calls under it.
        pub owner: Owner,
        /// Hash of the call that was claimed.
        pub body: u64,
        /// When it was claimed, on the clock of the reader; the owner counts from
        /// before its append, all others from when they read it.
        pub at_ms: u64,
    }
}

/// Whether the owner of a claim made `age_ms` ago is the only one that may run
/// calls under its key; beyond that, others may have forgotten the claim.
pub fn stays_owner(age_ms: u64, good_ms: u64) -> bool {
    age_ms <= good_ms
}

/// Who owns which key, by the claims read from the log in order.
///
/// A claim wins if no other claim of the key was read for the length of the
/// memory before it. Its owner starts a run only within half of that time after
/// it made the claim, so that two runs under different claims are at least half
/// of that time apart, whatever each reader has forgotten.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ClaimIndex {
    /// Holders, each with the time at which the last claim of its key was read.
    held: BTreeMap<Scope, (ClaimRecord, u64)>,
    /// When each claim was read, oldest first.
    order: VecDeque<(u64, Scope)>,
}

impl ClaimIndex {
    /// Applies the next claim of the log, made at `at_ms` and read at `now_ms`.
    /// The first one of a key wins; a later one keeps it in memory.
    pub fn apply(&mut self, claim: &Claim, at_ms: u64, now_ms: u64) {
        let held = ClaimRecord { owner: claim.owner, body: claim.op.body, at_ms };
        let entry = self.held.entry(claim.op.scope).or_insert((held, now_ms));
        entry.1 = now_ms;
        self.order.push_back((now_ms, claim.op.scope));
    }

    /// Who holds the key.
    pub fn held(&self, scope: &Scope) -> Option<ClaimRecord> {
        self.held.get(scope).map(|it| it.0)
    }

    /// Forgets keys whose last claim was read at or before `until_ms`.
    pub fn expire(&mut self, until_ms: u64) {
        while let Some(&(at, scope)) = self.order.front() {
            if at > until_ms {
                return;
            }
            if self.held.get(&scope).is_some_and(|it| it.1 <= until_ms) {
                self.held.remove(&scope);
            }
            self.order.pop_front();
        }
    }

    /// Keys that are held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
