//! Limits the requests that this router has in flight at one pool.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::admission::Permit;
use crate::decide::{FairQueue, PushResult, QueueLimits, QueuedRequest};

/// Weight of the last step in the moving average of the throughput.
const RATE_WEIGHT: f64 = 0.3;
/// Length of one step of the moving average.
const RATE_STEP: Duration = Duration::from_secs(1);

plain! {
    /// A request that needs a permit.
    pub struct AdmissionRequest<'a> {
        /// Organisation.
        pub organisation: &'a str,
        /// Weight of the organisation; above 0.
        pub weight: f64,
        /// Cost in tokens.
        pub cost: u64,
        /// Time by which the request must have started.
        pub until: Instant,
        /// Maximum number of requests that this router may have in flight at the pool.
        pub capacity: u64,
        /// Maximum up to which short requests are still admitted; at least `capacity`.
        pub short_capacity: u64,
    }
}

/// Moving average of the tokens a second that the pool finished for this router.
#[derive(Debug)]
struct Throughput {
    /// Start of the current step.
    since: Instant,
    /// Tokens finished in the current step.
    tokens: u64,
    /// Tokens a second; 0 until the first step has ended.
    rate: f64,
}

impl Throughput {
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
    /// Senders that hand permits to the queued requests, by the ids in `queue`.
    waiters: HashMap<u64, oneshot::Sender<Permit>>,
    next_id: u64,
    /// Requests of this router in flight at the pool.
    in_flight: u64,
    /// Capacity of the last request.
    capacity: u64,
    /// Capacity for short requests of the last request.
    short_capacity: u64,
    throughput: Throughput,
}

/// Limits the requests that this router has in flight at one pool. Requests above
/// the limit wait in a queue that is fair between organisations.
#[derive(Debug)]
pub struct PoolLimiter {
    state: Mutex<State>,
}

/// Removes a request from the queue when its wait ends without a permit, since it timed
/// out or its caller disconnected.
struct QueueGuard<'a> {
    limiter: &'a PoolLimiter,
    id: u64,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.limiter.state.lock().unwrap();
        if state.waiters.remove(&self.id).is_some() {
            state.queue.remove(self.id);
        }
    }
}

impl PoolLimiter {
    /// Creates a limiter with nothing in flight and an empty queue.
    pub fn new(limits: QueueLimits, now: Instant) -> PoolLimiter {
        let throughput = Throughput { since: now, tokens: 0, rate: 0.0 };
        let state = State {
            queue: FairQueue::new(limits),
            waiters: HashMap::new(),
            next_id: 0,
            in_flight: 0,
            capacity: 0,
            short_capacity: 0,
            throughput,
        };
        PoolLimiter { state: Mutex::new(state) }
    }

    /// Number of requests of this router in flight at the pool.
    pub fn in_flight(&self) -> u64 {
        self.state.lock().unwrap().in_flight
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.state.lock().unwrap().queue.len()
    }

    /// Returns a permit at once, or waits for capacity until `request.until`.
    ///
    /// # Errors
    /// The time after which there may be capacity.
    pub async fn acquire(
        self: &Arc<PoolLimiter>,
        request: &AdmissionRequest<'_>,
        now: Instant,
    ) -> Result<Permit, Duration> {
        let (id, wait) = match self.try_acquire(request, now)? {
            Ok(permit) => return Ok(permit),
            Err(queued) => queued,
        };
        let _guard = QueueGuard { limiter: self, id };
        let remaining = request.until.saturating_duration_since(now);
        match tokio::time::timeout(remaining, wait).await {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(remaining),
        }
    }

    /// Returns a permit, or else the id of the queued request and the receiver of its
    /// permit.
    #[allow(clippy::type_complexity)]
    fn try_acquire(
        self: &Arc<PoolLimiter>,
        request: &AdmissionRequest<'_>,
        now: Instant,
    ) -> Result<Result<Permit, (u64, oneshot::Receiver<Permit>)>, Duration> {
        let mut state = self.state.lock().unwrap();
        state.capacity = request.capacity;
        state.short_capacity = request.short_capacity;
        let short = state.queue.is_short(request.cost);
        let capacity = if short { state.short_capacity } else { state.capacity };
        if state.queue.is_empty() && state.in_flight < capacity {
            state.in_flight += 1;
            state.queue.pass(request.organisation, request.weight, request.cost);
            return Ok(Ok(Permit::new(Arc::clone(self), request.cost)));
        }
        let id = state.next_id;
        state.next_id += 1;
        let item = QueuedRequest { id, cost: request.cost, since: now, until: request.until };
        let rate = state.throughput.rate;
        match state.queue.push(request.organisation, request.weight, item, rate) {
            PushResult::Refused(time) => Err(time),
            PushResult::Queued => {
                let (sender, wait) = oneshot::channel();
                state.waiters.insert(id, sender);
                let unused = self.admit_queued(&mut state, now);
                drop(state);
                drop(unused);
                Ok(Err((id, wait)))
            }
        }
    }

    /// Releases the permit of a request of `cost` tokens and admits queued requests.
    pub(crate) fn release(self: &Arc<PoolLimiter>, cost: u64) {
        let now = tokio::time::Instant::now().into_std();
        let mut state = self.state.lock().unwrap();
        state.in_flight -= 1;
        state.throughput.add(cost, now);
        let unused = self.admit_queued(&mut state, now);
        drop(state);
        drop(unused);
    }

    /// Admits queued requests while there is capacity. Returns the permits of requests
    /// that no longer wait. They must be dropped without the lock, since dropping a permit
    /// takes it.
    fn admit_queued(self: &Arc<PoolLimiter>, state: &mut State, now: Instant) -> Vec<Permit> {
        let mut unused = Vec::new();
        for expired in state.queue.expire(now) {
            state.waiters.remove(&expired.id);
        }
        while state.in_flight < state.short_capacity {
            let admits_all = state.in_flight < state.capacity;
            let next = if admits_all { state.queue.pop(now) } else { state.queue.pop_short() };
            let Some(next) = next else {
                break;
            };
            let Some(sender) = state.waiters.remove(&next.id) else {
                continue;
            };
            state.in_flight += 1;
            if let Err(permit) = sender.send(Permit::new(Arc::clone(self), next.cost)) {
                unused.push(permit);
            }
        }
        unused
    }
}
