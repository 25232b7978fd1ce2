//! Weighted fair queue over organisations.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

plain! {
    /// Bounds of a queue.
    pub struct QueueLimits {
        /// Requests that wait at most.
        pub total: usize,
        /// Requests of one organisation that wait at most.
        pub organisation: usize,
        /// Requests of at most so many tokens go before longer ones.
        pub short_tokens: u64,
        /// A longer request that has waited so long goes before short ones.
        pub aging: Duration,
    }

    /// A request that asks for room.
    pub struct QueuedRequest {
        /// Number given by the caller of the queue.
        pub id: u64,
        /// Tokens.
        pub cost: u64,
        /// When it came.
        pub since: Instant,
        /// When it must have begun.
        pub until: Instant,
    }

    /// What becomes of a request that asks for room.
    pub enum PushResult {
        /// It waits.
        Queued,
        /// It is refused; room may be there after this time.
        Refused(Duration),
    }
}

/// Requests of one organisation.
#[derive(Debug, Default)]
struct Flow {
    short: VecDeque<QueuedRequest>,
    long: VecDeque<QueuedRequest>,
    weight: f64,
    /// Virtual time at which its work so far ends.
    finish: f64,
}

impl Flow {
    fn len(&self) -> usize {
        self.short.len() + self.long.len()
    }

    /// Takes the next request: short ones first, unless a long one has aged.
    fn pop(&mut self, now: Instant, aging: Duration) -> Option<QueuedRequest> {
        let aged = |it: &QueuedRequest| now.saturating_duration_since(it.since) >= aging;
        if self.short.is_empty() || self.long.front().is_some_and(aged) {
            return self.long.pop_front().or_else(|| self.short.pop_front());
        }
        self.short.pop_front()
    }

    fn retain(&mut self, mut keep: impl FnMut(&QueuedRequest) -> bool) {
        self.short.retain(&mut keep);
        self.long.retain(&mut keep);
    }
}

/// Start-time fair queue (Goyal, Vin and Cheng 1996) whose flows are organisations.
///
/// Tags are given when a request leaves the queue, not when it enters, so that
/// short requests may pass longer ones of the same organisation.
#[derive(Debug)]
pub struct FairQueue {
    limits: QueueLimits,
    /// Organisations with waiting requests, or with a finish tag ahead of `time`.
    flows: BTreeMap<String, Flow>,
    /// Virtual time: the start tag of the request that left last.
    time: f64,
    /// Invariant: the number of requests in all flows.
    len: usize,
    /// Invariant: the tokens of all requests in all flows.
    tokens: u64,
}

impl FairQueue {
    /// An empty queue.
    pub fn new(limits: QueueLimits) -> FairQueue {
        FairQueue { limits, flows: BTreeMap::new(), time: 0.0, len: 0, tokens: 0 }
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Lets a request of `organisation` wait, or refuses it when the queue is
    /// full or will not come to it in time. `rate` is the tokens a second that
    /// the queue gave out lately.
    pub fn push(
        &mut self,
        organisation: &str,
        weight: f64,
        item: QueuedRequest,
        rate: f64,
    ) -> PushResult {
        let short = self.is_short(item.cost);
        let wait = self.expected_wait(organisation, weight, &item, rate);
        let flow = self.flows.get(organisation);
        let full = self.len >= self.limits.total
            || flow.is_some_and(|it| it.len() >= self.limits.organisation);
        if full || item.since + wait > item.until {
            return PushResult::Refused(wait);
        }
        self.len += 1;
        self.tokens += item.cost;
        let flow = self.flows.entry(organisation.to_owned()).or_default();
        flow.weight = weight;
        if short {
            flow.short.push_back(item)
        } else {
            flow.long.push_back(item)
        }
        PushResult::Queued
    }

    /// Counts a request that passed without waiting.
    pub fn pass(&mut self, organisation: &str, weight: f64, cost: u64) {
        let time = self.time;
        let flow = self.flows.entry(organisation.to_owned()).or_default();
        flow.weight = weight;
        flow.finish = flow.finish.max(time) + cost as f64 / weight;
    }

    /// Takes the request that goes next.
    pub fn pop(&mut self, now: Instant) -> Option<QueuedRequest> {
        let aging = self.limits.aging;
        self.take(|it| it.len() > 0, |it| it.pop(now, aging))
    }

    /// Takes the short request that goes next.
    pub fn pop_short(&mut self) -> Option<QueuedRequest> {
        self.take(|it| !it.short.is_empty(), |it| it.short.pop_front())
    }

    /// Whether a request of `cost` tokens counts as short.
    pub fn is_short(&self, cost: u64) -> bool {
        cost <= self.limits.short_tokens
    }

    /// Takes a request from the organisation with the lowest start tag among
    /// those that `has` one.
    fn take(
        &mut self,
        has: impl Fn(&Flow) -> bool,
        pop: impl FnOnce(&mut Flow) -> Option<QueuedRequest>,
    ) -> Option<QueuedRequest> {
        let start = |it: &Flow| it.finish.max(self.time);
        let waiting = self.flows.iter().filter(|(_, it)| has(it));
        let next = waiting.min_by(|(_, a), (_, b)| start(a).total_cmp(&start(b)));
        let name = next.map(|(name, _)| name.clone())?;
        let flow = self.flows.get_mut(&name)?;
        let item = pop(flow)?;
        self.time = flow.finish.max(self.time);
        flow.finish = self.time + item.cost as f64 / flow.weight;
        self.len -= 1;
        self.tokens -= item.cost;
        self.forget();
        Some(item)
    }

    /// Takes out every request whose time to begin has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<QueuedRequest> {
        let mut late = Vec::new();
        for flow in self.flows.values_mut() {
            flow.retain(|it| {
                let keep = it.until > now;
                if !keep {
                    late.push(it.clone());
                }
                keep
            });
        }
        self.len -= late.len();
        self.tokens -= late.iter().map(|it| it.cost).sum::<u64>();
        late
    }

    /// Takes out the request with `id`, whose caller has left.
    pub fn remove(&mut self, id: u64) {
        for flow in self.flows.values_mut() {
            flow.retain(|it| {
                if it.id == id {
                    self.len -= 1;
                    self.tokens -= it.cost;
                }
                it.id != id
            });
        }
    }

    /// Time until a request of `organisation` would leave: what goes before it,
    /// by its share among those who wait, over the rate.
    fn expected_wait(
        &self,
        organisation: &str,
        weight: f64,
        item: &QueuedRequest,
        rate: f64,
    ) -> Duration {
        if self.is_empty() || rate <= 0.0 {
            return Duration::ZERO;
        }
        let others = self.flows.iter().filter(|(name, it)| it.len() > 0 && *name != organisation);
        let others: f64 = others.map(|(_, it)| it.weight).sum();
        let cost = |queue: &VecDeque<QueuedRequest>| queue.iter().map(|it| it.cost).sum::<u64>();
        let ahead = self.flows.get(organisation).map_or(0, |it| {
            let short = cost(&it.short);
            if self.is_short(item.cost) { short } else { short + cost(&it.long) }
        });
        let through_share = ahead as f64 * (weight + others) / weight;
        let tokens = through_share.min(self.tokens as f64);
        Duration::try_from_secs_f64(tokens / rate).unwrap_or(Duration::MAX)
    }

    /// Drops flows that have nothing waiting and no work ahead of time.
    fn forget(&mut self) {
        let time = self.time;
        self.flows.retain(|_, it| it.len() > 0 || it.finish > time);
    }
}
