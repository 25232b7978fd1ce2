//! Ownership of idempotency keys by the order of claims in the log.

use std::collections::{BTreeMap, VecDeque};

use crate::decide::once::{Op, Owner, Scope};

key! {
    /// The claim of a router to own an idempotency key.
    pub struct Claim {
        /// The router that claims the key.
        pub owner: Owner,
        /// The call that it wants to run.
        pub op: Op,
    }

    /// The winning claim of a key.
    pub struct ClaimRecord {
        /// The router that may run calls under the key.
        pub owner: Owner,
        /// Hash of the call that was claimed.
        pub body: u64,
        /// When the key was claimed, on the clock of the reader: for the owner, the time
        /// before its append; for all others, the time at which they read the claim.
        pub at_ms: u64,
    }
}

/// Whether the owner of a claim made `age_ms` ago is still the only router that may run
/// calls under its key. Later, other routers may have forgotten the claim.
pub fn stays_owner(age_ms: u64, good_ms: u64) -> bool {
    age_ms <= good_ms
}

/// The owners of keys, by the claims read from the log in order.
///
/// A claim wins if no other claim of its key was read during the retention time before it.
/// The owner starts a run only within half of the retention time after it made the claim.
/// Two runs under different claims are therefore at least half of that time apart, whatever
/// each reader has forgotten.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ClaimIndex {
    /// Winning claims, each with the time at which the last claim of its key was read.
    held: BTreeMap<Scope, (ClaimRecord, u64)>,
    /// Claims by the time at which they were read, oldest first.
    order: VecDeque<(u64, Scope)>,
}

impl ClaimIndex {
    /// Applies the next claim of the log, made at `at_ms` and read at `now_ms`.
    /// The first claim of a key wins; a later one only extends its retention.
    pub fn apply(&mut self, claim: &Claim, at_ms: u64, now_ms: u64) {
        let held = ClaimRecord { owner: claim.owner, body: claim.op.body, at_ms };
        let entry = self.held.entry(claim.op.scope).or_insert((held, now_ms));
        entry.1 = now_ms;
        self.order.push_back((now_ms, claim.op.scope));
    }

    /// Returns the winning claim of a key.
    pub fn held(&self, scope: &Scope) -> Option<ClaimRecord> {
        self.held.get(scope).map(|it| it.0)
    }

    /// Drops the keys whose last claim was read at or before `until_ms`.
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

    /// Returns the number of keys that are owned.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no key is owned.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
