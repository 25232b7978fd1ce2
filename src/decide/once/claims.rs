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
    pub struct Held {
        /// Who may run calls under it.
        pub owner: Owner,
        /// Hash of the call that was claimed.
        pub body: u64,
        /// When it was claimed, on the clock of the reader; the owner counts from
        /// before its append, all others from when they read the claim.
        pub at_ms: u64,
    }
}

/// Who owns which key, by the claims read from the log in order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ClaimIndex {
    held: BTreeMap<Scope, Held>,
    /// Invariant: the scopes of `held` with the times of their claims, oldest first.
    order: VecDeque<(u64, Scope)>,
}

impl ClaimIndex {
    /// Applies the next claim of the log; the first one of a key wins.
    pub fn apply(&mut self, claim: &Claim, at_ms: u64) {
        let held = Held { owner: claim.owner, body: claim.op.body, at_ms };
        let mut fresh = false;
        self.held.entry(claim.op.scope).or_insert_with(|| {
            fresh = true;
            held
        });
        if fresh {
            self.order.push_back((at_ms, claim.op.scope));
        }
    }

    /// Who holds the key.
    pub fn held(&self, scope: &Scope) -> Option<Held> {
        self.held.get(scope).copied()
    }

    /// Forgets claims read at or before `until_ms`.
    pub fn expire(&mut self, until_ms: u64) {
        while let Some((at, scope)) = self.order.front() {
            if *at > until_ms {
                return;
            }
            self.held.remove(scope);
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
