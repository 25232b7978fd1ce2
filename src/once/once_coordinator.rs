//! State of idempotency keys at this router.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, watch};

use crate::clock::SharedClock;
use crate::decide::once::{
    Admission, Claim, ClaimIndex, ClaimRecord, Ledger, LedgerLimits, Op, RunOutcome,
};
use crate::decide::once::{Owner, Scope, stays_owner};
use crate::keys::IssuedKey;
use crate::once::StoredAnswer;
use crate::settings::Once;

/// A stored answer, shared by all repeats of its call.
type Answer = Arc<StoredAnswer>;

#[derive(Debug)]
struct State {
    ledger: Ledger<Answer>,
    index: ClaimIndex,
    /// Claims to append, each with the time at which it was queued.
    pending: Vec<(u64, Claim)>,
    /// When this router made each of its claims that it has not read back yet.
    /// Invariant: not later than the time at which the append may reach the log.
    claimed_at: HashMap<Scope, u64>,
    /// Keys whose claims the log refused.
    failed: HashSet<Scope>,
    /// Whether the last read of the claim stream succeeded.
    is_current: bool,
    /// Whether the stream was read to its end since the start or the last gap.
    is_complete: bool,
    /// Time until which a claim may be missing from the index.
    gap_until: u64,
}

/// Result of waiting for a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The log has settled who holds the key.
    Held(ClaimRecord),
    /// The log cannot be read, refused the claim or did not settle it in time.
    Unavailable,
    /// Claims were lost from the log before this router read them.
    Gap,
    /// The index holds the maximum number of keys.
    Full,
}

/// State of idempotency keys at this router: the ledger of its own runs and the index
/// of all claims. Shared by the traffic and control threads.
#[derive(Debug)]
pub struct OnceCoordinator {
    me: Owner,
    settings: Once,
    clock: SharedClock,
    start: Instant,
    state: Mutex<State>,
    /// Incremented when a run ends or the index changes.
    changed: watch::Sender<u64>,
    /// Notified when there are claims to append.
    pub(crate) pending_added: Notify,
}

impl OnceCoordinator {
    /// Creates the coordinator of the router whose name has the hash `router`.
    pub fn new(router: u64, settings: &Once, clock: &SharedClock) -> OnceCoordinator {
        let limits =
            LedgerLimits { keys: settings.keys, bytes: settings.answers.as_u64() as usize };
        let state = State {
            ledger: Ledger::new(limits),
            index: ClaimIndex::default(),
            pending: Vec::new(),
            claimed_at: HashMap::new(),
            failed: HashSet::new(),
            is_current: false,
            is_complete: false,
            gap_until: 0,
        };
        OnceCoordinator {
            me: Owner { router, incarnation: rand::random() },
            settings: settings.clone(),
            clock: Arc::clone(clock),
            start: clock.now(),
            state: Mutex::new(state),
            changed: watch::channel(0).0,
            pending_added: Notify::new(),
        }
    }

    /// This router and its incarnation, as owner of keys.
    pub fn me(&self) -> Owner {
        self.me
    }

    /// Settings of at-most-once calls.
    pub(crate) fn settings(&self) -> &Once {
        &self.settings
    }

    /// Milliseconds since this router started, on its monotonic clock.
    pub fn now_ms(&self) -> u64 {
        self.clock.now().saturating_duration_since(self.start).as_millis() as u64
    }

    /// Creates the content of a key that this router issues now.
    pub fn issue(&self) -> IssuedKey {
        let Owner { router, incarnation } = self.me;
        IssuedKey { router, incarnation, issued_ms: self.now_ms() }
    }

    /// Decides what to do with a call whose key this router issued or claimed at
    /// `since_ms`.
    pub(crate) fn admit(&self, op: &Op, since_ms: u64, issued: bool) -> Admission<Answer> {
        let now = self.now_ms();
        let age = now.saturating_sub(since_ms);
        let ledger = &mut self.state().ledger;
        match issued {
            true => ledger.admit_issued(op, age, self.key_lifetime_ms(), now),
            false => ledger.admit_claimed(op, age, self.key_lifetime_ms(), now),
        }
    }

    /// Whether this router is still the only owner of a key that it issued or
    /// claimed at `since_ms`.
    pub(crate) fn stays_owner(&self, since_ms: u64, issued: bool) -> bool {
        issued || stays_owner(self.now_ms().saturating_sub(since_ms), self.key_lifetime_ms())
    }

    /// What the ledger knows about a call whose key this router owns.
    pub(crate) fn peek(&self, op: &Op) -> Option<Admission<Answer>> {
        self.state().ledger.peek(op)
    }

    /// Records how a run ended and wakes the calls that wait for it.
    pub(crate) fn finish(&self, scope: Scope, outcome: RunOutcome<Answer>) {
        self.state().ledger.finish(scope, outcome);
        self.changed.send_modify(|it| *it += 1);
    }

    /// Subscribes to changes of ledger and index.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// The holder of a key according to the claims read so far.
    pub fn held(&self, scope: &Scope) -> Option<ClaimRecord> {
        self.state().index.held(scope)
    }

    /// Whether it is certain that this router has seen no call and no claim under a key
    /// and missed none.
    pub fn is_unseen(&self, op: &Op) -> bool {
        let state = self.state();
        let is_known = state.index.held(&op.scope).is_some() || state.ledger.peek(op).is_some();
        state.is_complete && !is_known
    }

    /// Claims a key and waits until the log has settled who holds it, at most until
    /// `deadline` and for the time `claim_wait` of the settings.
    pub(crate) async fn claim(&self, op: &Op, deadline: Instant) -> ClaimOutcome {
        let mut changes = self.changes();
        if let Err(outcome) = self.enqueue(op) {
            return outcome;
        }
        self.pending_added.notify_one();
        let until = deadline.min(self.clock.now() + self.settings.claim_wait);
        loop {
            if let Some(held) = self.held(&op.scope) {
                return ClaimOutcome::Held(held);
            }
            let remaining = until.saturating_duration_since(self.clock.now());
            if remaining.is_zero() || self.has_failed(&op.scope) {
                return ClaimOutcome::Unavailable;
            }
            let _ = tokio::time::timeout(remaining, changes.changed()).await;
        }
    }

    /// Queues a claim of the key, unless one from the last `claim_wait` is still
    /// unsettled and was not refused by the log.
    fn enqueue(&self, op: &Op) -> Result<(), ClaimOutcome> {
        let now = self.now_ms();
        let mut state = self.state();
        if now < state.gap_until {
            return Err(ClaimOutcome::Gap);
        }
        if !state.is_current {
            return Err(ClaimOutcome::Unavailable);
        }
        if state.index.len() >= self.settings.keys {
            return Err(ClaimOutcome::Full);
        }
        let claim = Claim { owner: self.me, op: *op };
        let age = state.claimed_at.get(&op.scope).map(|at| now.saturating_sub(*at));
        if age.is_none_or(|it| it > self.key_lifetime_ms()) {
            state.claimed_at.insert(op.scope, now);
        }
        if age.is_none_or(|it| it > millis(self.settings.claim_wait))
            || state.failed.contains(&op.scope)
        {
            state.failed.remove(&op.scope);
            state.pending.push((now, claim));
        }
        Ok(())
    }

    /// Whether the log refused the claim, or the stream cannot be read.
    fn has_failed(&self, scope: &Scope) -> bool {
        let state = self.state();
        !state.is_current || state.failed.contains(scope)
    }

    /// Whether there are claims to append.
    pub(crate) fn has_pending(&self) -> bool {
        !self.state().pending.is_empty()
    }

    /// Takes up to `max` claims to append, and drops those that no call waits for any
    /// more.
    pub(crate) fn take_pending(&self, max: usize) -> Vec<(u64, Claim)> {
        let oldest = self.now_ms().saturating_sub(millis(self.settings.claim_wait));
        let mut state = self.state();
        let count = state.pending.len().min(max);
        let mut taken: Vec<_> = state.pending.drain(..count).collect();
        taken.retain(|(at, _)| *at >= oldest);
        taken
    }

    /// Records claims that the log refused and wakes the calls that wait for them.
    pub(crate) fn mark_failed(&self, claims: &[(u64, Claim)]) {
        self.state().failed.extend(claims.iter().map(|it| it.1.op.scope));
        self.changed.send_modify(|it| *it += 1);
    }

    /// Puts claims whose append was postponed back at the front of the pending claims.
    pub(crate) fn requeue(&self, claims: Vec<(u64, Claim)>) {
        let mut state = self.state();
        let later = std::mem::replace(&mut state.pending, claims);
        state.pending.extend(later);
    }

    /// Applies claims read from the log, in the order of the log.
    pub(crate) fn apply_claims(&self, claims: &[Claim]) {
        let now = self.now_ms();
        let retention_ms = 2 * self.key_lifetime_ms();
        let mut state = self.state();
        for it in claims {
            let own = (it.owner == self.me).then(|| state.claimed_at.get(&it.op.scope).copied());
            let at = own.flatten().unwrap_or(now);
            state.index.apply(it, at, now);
            if it.owner == self.me {
                state.claimed_at.remove(&it.op.scope);
            }
        }
        if let Some(until) = now.checked_sub(retention_ms) {
            state.index.expire(until);
            state.claimed_at.retain(|_, at| *at > until);
            let State { failed, claimed_at, .. } = &mut *state;
            failed.retain(|it| claimed_at.contains_key(it));
        }
        drop(state);
        self.changed.send_modify(|it| *it += 1);
    }

    /// Records whether the claim stream can be read.
    pub(crate) fn set_current(&self, is_current: bool) {
        let mut state = self.state();
        let was_current = std::mem::replace(&mut state.is_current, is_current);
        state.is_complete |= is_current;
        drop(state);
        if was_current != is_current {
            self.changed.send_modify(|it| *it += 1);
        }
    }

    /// Records that claims were lost from the log. Until these are too old to matter,
    /// any key may have an owner unknown to this router.
    pub(crate) fn record_gap(&self) {
        let until = self.now_ms() + 2 * self.key_lifetime_ms();
        let mut state = self.state();
        state.gap_until = until;
        state.is_complete = false;
    }

    /// How long a key is valid, in milliseconds.
    pub(crate) fn key_lifetime_ms(&self) -> u64 {
        millis(self.settings.key_age)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
