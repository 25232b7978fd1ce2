//! What this router knows about operation keys.

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

/// An answer that many repeats share.
type Answer = Arc<StoredAnswer>;

#[derive(Debug)]
struct State {
    ledger: Ledger<Answer>,
    index: ClaimIndex,
    /// Claims to append.
    pending: Vec<(u64, Claim)>,
    /// When this router made each of its claims that it has not read back.
    /// Invariant: not later than the append could reach the log.
    made: HashMap<Scope, u64>,
    /// Claims that the log refused.
    failed: HashSet<Scope>,
    /// Whether the last read of the claim stream went well.
    current: bool,
    /// Whether the stream was read to its end since the start.
    complete: bool,
    /// Until when a claim may be missing from the index.
    gap_until: u64,
}

/// What became of a wait for a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The log has decided.
    Held(ClaimRecord),
    /// The log does not answer, or not in time.
    Unavailable,
    /// Claims were lost before they were read.
    Gap,
    /// Too many keys are remembered already.
    Full,
}

/// What this router knows about operation keys; shared by traffic and control.
#[derive(Debug)]
pub struct OnceCoordinator {
    me: Owner,
    settings: Once,
    clock: SharedClock,
    start: Instant,
    state: Mutex<State>,
    /// Bumped when a run ends or the index changes.
    changed: watch::Sender<u64>,
    /// Told when there are claims to append.
    pub(crate) waiting: Notify,
}

impl OnceCoordinator {
    /// A desk for the router with hash `router`.
    pub fn new(router: u64, settings: &Once, clock: &SharedClock) -> OnceCoordinator {
        let limits =
            LedgerLimits { keys: settings.keys, bytes: settings.answers.as_u64() as usize };
        let state = State {
            ledger: Ledger::new(limits),
            index: ClaimIndex::default(),
            pending: Vec::new(),
            made: HashMap::new(),
            failed: HashSet::new(),
            current: false,
            complete: false,
            gap_until: 0,
        };
        OnceCoordinator {
            me: Owner { router, incarnation: rand::random() },
            settings: settings.clone(),
            clock: Arc::clone(clock),
            start: clock.now(),
            state: Mutex::new(state),
            changed: watch::channel(0).0,
            waiting: Notify::new(),
        }
    }

    /// This incarnation of this router.
    pub fn me(&self) -> Owner {
        self.me
    }

    /// The settings.
    pub(crate) fn settings(&self) -> &Once {
        &self.settings
    }

    /// Milliseconds since this router started, on its monotonic clock.
    pub fn now_ms(&self) -> u64 {
        self.clock.now().saturating_duration_since(self.start).as_millis() as u64
    }

    /// A key that this router issues now.
    pub fn issue(&self) -> IssuedKey {
        let Owner { router, incarnation } = self.me;
        IssuedKey { router, incarnation, issued_ms: self.now_ms() }
    }

    /// Decides on a call whose key this router issued or claimed at `since_ms`.
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

    /// What is known about a call whose key is owned here.
    pub(crate) fn peek(&self, op: &Op) -> Option<Admission<Answer>> {
        self.state().ledger.peek(op)
    }

    /// Notes how a run ended, and wakes whoever waits for it.
    pub(crate) fn finish(&self, scope: Scope, ended: RunOutcome<Answer>) {
        self.state().ledger.finish(scope, ended);
        self.changed.send_modify(|it| *it += 1);
    }

    /// Follows changes of ledger and index.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Who holds a key, as far as the claims read tell.
    pub fn held(&self, scope: &Scope) -> Option<ClaimRecord> {
        self.state().index.held(scope)
    }

    /// Whether this router can say that it has seen no call and no claim under
    /// a key, nor missed one.
    pub fn is_unseen(&self, op: &Op) -> bool {
        let state = self.state();
        let known = state.index.held(&op.scope).is_some() || state.ledger.peek(op).is_some();
        state.complete && !known
    }

    /// Claims a key and waits until the log has decided who holds it, at most
    /// until `deadline`.
    pub(crate) async fn claim(&self, op: &Op, deadline: Instant) -> ClaimOutcome {
        let mut changes = self.changes();
        if let Err(refused) = self.enqueue(op) {
            return refused;
        }
        self.waiting.notify_one();
        let until = deadline.min(self.clock.now() + self.settings.claim_wait);
        loop {
            if let Some(held) = self.held(&op.scope) {
                return ClaimOutcome::Held(held);
            }
            let left = until.saturating_duration_since(self.clock.now());
            if left.is_zero() || self.has_failed(&op.scope) {
                return ClaimOutcome::Unavailable;
            }
            let _ = tokio::time::timeout(left, changes.changed()).await;
        }
    }

    fn enqueue(&self, op: &Op) -> Result<(), ClaimOutcome> {
        let now = self.now_ms();
        let mut state = self.state();
        if now < state.gap_until {
            return Err(ClaimOutcome::Gap);
        }
        if !state.current {
            return Err(ClaimOutcome::Unavailable);
        }
        if state.index.len() >= self.settings.keys {
            return Err(ClaimOutcome::Full);
        }
        let claim = Claim { owner: self.me, op: *op };
        let age = state.made.get(&op.scope).map(|at| now.saturating_sub(*at));
        if age.is_none_or(|it| it > self.key_lifetime_ms()) {
            state.made.insert(op.scope, now);
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
        !state.current || state.failed.contains(scope)
    }

    /// Whether claims wait to be appended.
    pub(crate) fn has_pending(&self) -> bool {
        !self.state().pending.is_empty()
    }

    /// Takes the claims to append; what nobody waits for any more is left out.
    pub(crate) fn take_pending(&self, most: usize) -> Vec<(u64, Claim)> {
        let oldest = self.now_ms().saturating_sub(millis(self.settings.claim_wait));
        let mut state = self.state();
        let count = state.pending.len().min(most);
        let mut taken: Vec<_> = state.pending.drain(..count).collect();
        taken.retain(|(at, _)| *at >= oldest);
        taken
    }

    /// Notes claims that the log refused.
    pub(crate) fn fail(&self, claims: &[(u64, Claim)]) {
        self.state().failed.extend(claims.iter().map(|it| it.1.op.scope));
        self.changed.send_modify(|it| *it += 1);
    }

    /// Puts claims back whose append was put off.
    pub(crate) fn requeue(&self, claims: Vec<(u64, Claim)>) {
        let mut state = self.state();
        let later = std::mem::replace(&mut state.pending, claims);
        state.pending.extend(later);
    }

    /// Applies claims read from the log, in order.
    pub(crate) fn apply_claims(&self, claims: &[Claim]) {
        let now = self.now_ms();
        let memory = 2 * self.key_lifetime_ms();
        let mut state = self.state();
        for it in claims {
            let own = (it.owner == self.me).then(|| state.made.get(&it.op.scope).copied());
            let at = own.flatten().unwrap_or(now);
            state.index.apply(it, at, now);
            if it.owner == self.me {
                state.made.remove(&it.op.scope);
            }
        }
        if let Some(until) = now.checked_sub(memory) {
            state.index.expire(until);
            state.made.retain(|_, at| *at > until);
            let State { failed, made, .. } = &mut *state;
            failed.retain(|it| made.contains_key(it));
        }
        drop(state);
        self.changed.send_modify(|it| *it += 1);
    }

    /// Notes whether the claim stream can be read.
    pub(crate) fn set_current(&self, current: bool) {
        let mut state = self.state();
        let before = std::mem::replace(&mut state.current, current);
        state.complete |= current;
        drop(state);
        if before != current {
            self.changed.send_modify(|it| *it += 1);
        }
    }

    /// Notes that claims were lost: any key may be claimed unknown to this
    /// router until the lost claims are too old to matter.
    pub(crate) fn note_gap(&self) {
        let until = self.now_ms() + 2 * self.key_lifetime_ms();
        let mut state = self.state();
        state.gap_until = until;
        state.complete = false;
    }

    /// How long a key is good.
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
