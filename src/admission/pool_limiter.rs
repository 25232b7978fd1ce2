//! One pool's gate.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::admission::Permit;
use crate::decide::{FairQueue, PushResult, QueueLimits, QueuedRequest};

/// Weight of the newest step in the average of tokens given out.
const RATE_WEIGHT: f64 = 0.3;
/// Length of one step of that average.
const RATE_STEP: Duration = Duration::from_secs(1);

plain! {
    /// A request that wants to pass.
    pub struct AdmissionRequest<'a> {
        /// Organisation.
        pub organisation: &'a str,
        /// Its weight; above 0.
        pub weight: f64,
        /// Tokens.
        pub cost: u64,
        /// When the request must have begun.
        pub until: Instant,
        /// Requests that this router may have at the pool.
        pub capacity: u64,
        /// The same while only short requests are added; at least `capacity`.
        pub short_capacity: u64,
    }
}

/// How many tokens a second the pool lately finished for this router.
#[derive(Debug)]
struct Drained {
    since: Instant,
    tokens: u64,
    rate: f64,
}

impl Drained {
    fn add(&mut self, tokens: u64, now: Instant) {
        self.tokens += tokens;
        let passed = now.saturating_duration_since(self.since);
        if passed >= RATE_STEP {
            let rate = self.tokens as f64 / passed.as_secs_f64();
            let first = self.rate == 0.0;
            self.rate = if first { rate } else { self.rate + RATE_WEIGHT * (rate - self.rate) };
            self.since = now;
            self.tokens = 0;
        }
    }
}

#[derive(Debug)]
struct State {
    queue: FairQueue,
    wake: HashMap<u64, oneshot::Sender<Permit>>,
    next: u64,
    /// Requests at the pool.
    in_flight: u64,
    /// Newest known capacity.
    capacity: u64,
    /// Newest known capacity for short requests.
    short_capacity: u64,
    drained: Drained,
}

/// One pool's gate.
#[derive(Debug)]
pub struct PoolLimiter {
    state: Mutex<State>,
}

/// Takes a request out of the queue when its caller leaves.
struct Queued<'a> {
    gate: &'a PoolLimiter,
    id: u64,
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        let mut state = self.gate.state.lock().unwrap();
        if state.wake.remove(&self.id).is_some() {
            state.queue.remove(self.id);
        }
    }
}

impl PoolLimiter {
    /// A gate that nobody has passed.
    pub fn new(limits: QueueLimits, now: Instant) -> PoolLimiter {
        let drained = Drained { since: now, tokens: 0, rate: 0.0 };
        let state = State {
            queue: FairQueue::new(limits),
            wake: HashMap::new(),
            next: 0,
            in_flight: 0,
            capacity: 0,
            short_capacity: 0,
            drained,
        };
        PoolLimiter { state: Mutex::new(state) }
    }

    /// Requests at the pool.
    pub fn in_flight(&self) -> u64 {
        self.state.lock().unwrap().in_flight
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.state.lock().unwrap().queue.len()
    }

    /// Passes at once, or waits for capacity until the demand's time.
    ///
    /// # Errors
    /// Tells after what time there may be capacity.
    pub async fn acquire(
        self: &Arc<PoolLimiter>,
        demand: &AdmissionRequest<'_>,
        now: Instant,
    ) -> Result<Permit, Duration> {
        let (id, wait) = match self.try_acquire(demand, now)? {
            Ok(pass) => return Ok(pass),
            Err(queued) => queued,
        };
        let _queued = Queued { gate: self, id };
        let left = demand.until.saturating_duration_since(now);
        match tokio::time::timeout(left, wait).await {
            Ok(Ok(pass)) => Ok(pass),
            _ => Err(left),
        }
    }

    #[allow(clippy::type_complexity)]
    fn try_acquire(
        self: &Arc<PoolLimiter>,
        demand: &AdmissionRequest<'_>,
        now: Instant,
    ) -> Result<Result<Permit, (u64, oneshot::Receiver<Permit>)>, Duration> {
        let mut state = self.state.lock().unwrap();
        state.capacity = demand.capacity;
        state.short_capacity = demand.short_capacity;
        let short = state.queue.is_short(demand.cost);
        let capacity = if short { state.short_capacity } else { state.capacity };
        if state.queue.is_empty() && state.in_flight < capacity {
            state.in_flight += 1;
            state.queue.pass(demand.organisation, demand.weight, demand.cost);
            return Ok(Ok(Permit::new(Arc::clone(self), demand.cost)));
        }
        let id = state.next;
        state.next += 1;
        let item = QueuedRequest { id, cost: demand.cost, since: now, until: demand.until };
        let rate = state.drained.rate;
        match state.queue.push(demand.organisation, demand.weight, item, rate) {
            PushResult::Refused(time) => Err(time),
            PushResult::Queued => {
                let (give, wait) = oneshot::channel();
                state.wake.insert(id, give);
                let passes = self.release(&mut state, now);
                drop(state);
                drop(passes);
                Ok(Err((id, wait)))
            }
        }
    }

    /// Gives a pass back and lets the next request in.
    pub(crate) fn leave(self: &Arc<PoolLimiter>, cost: u64) {
        let now = tokio::time::Instant::now().into_std();
        let mut state = self.state.lock().unwrap();
        state.in_flight -= 1;
        state.drained.add(cost, now);
        let unused = self.release(&mut state, now);
        drop(state);
        drop(unused);
    }

    /// Lets requests in while there is capacity. Returns passes whose callers have
    /// left; they must be dropped without the lock.
    fn release(self: &Arc<PoolLimiter>, state: &mut State, now: Instant) -> Vec<Permit> {
        let mut unused = Vec::new();
        for late in state.queue.expire(now) {
            state.wake.remove(&late.id);
        }
        while state.in_flight < state.short_capacity {
            let any = state.in_flight < state.capacity;
            let next = if any { state.queue.pop(now) } else { state.queue.pop_short() };
            let Some(next) = next else {
                break;
            };
            let Some(give) = state.wake.remove(&next.id) else {
                continue;
            };
            state.in_flight += 1;
            if let Err(pass) = give.send(Permit::new(Arc::clone(self), next.cost)) {
                unused.push(pass);
            }
        }
        unused
    }
}
