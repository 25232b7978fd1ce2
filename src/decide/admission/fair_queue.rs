//! Weighted fair queue over organisations.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

plain! {
    /// Limits of a queue.
    pub struct QueueLimits {
        /// Maximum number of waiting requests.
        pub total: usize,
        /// Maximum number of waiting requests of one organisation.
        pub organisation: usize,
        /// Maximum number of tokens of a short request; short requests go before long ones.
        pub short_tokens: u64,
        /// Waiting time after which a long request goes before short ones.
        pub aging: Duration,
    }

    /// A request that waits for capacity.
    pub struct QueuedRequest {
        /// Identifier given by the user of the queue.
        pub id: u64,
        /// Size in tokens.
        pub cost: u64,
        /// When it arrived.
        pub since: Instant,
        /// Latest time at which it may begin.
        pub until: Instant,
    }

    /// The result of adding a request to the queue.
    pub enum PushResult {
        /// It waits.
        Queued,
        /// It is refused; capacity may be free after this time.
        Refused(Duration),
    }
}

/// Waiting requests of one organisation.
#[derive(Debug, Default)]
struct Flow {
    short: VecDeque<QueuedRequest>,
    long: VecDeque<QueuedRequest>,
    weight: f64,
    /// Finish tag: the virtual time at which its work so far ends.
    finish: f64,
}

impl Flow {
    fn len(&self) -> usize {
        self.short.len() + self.long.len()
    }

    /// Takes the next request: short ones first, unless a long one has waited for `aging`.
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

/// Start-time fair queue (Goyal, Vin and Cheng 1996) with one flow for each organisation.
///
/// Tags are assigned when a request leaves the queue, not when it enters, so that
/// short requests can overtake longer ones of the same organisation.
#[derive(Debug)]
pub struct FairQueue {
    limits: QueueLimits,
    /// Organisations with waiting requests, or with a finish tag ahead of `time`.
    flows: BTreeMap<String, Flow>,
    /// Virtual time, which is the start tag of the request that left last.
    time: f64,
    /// Invariant: the number of waiting requests in all flows.
    len: usize,
    /// Invariant: the tokens of all waiting requests in all flows.
    tokens: u64,
}

impl FairQueue {
    /// Returns an empty queue.
    pub fn new(limits: QueueLimits) -> FairQueue {
        FairQueue { limits, flows: BTreeMap::new(), time: 0.0, len: 0, tokens: 0 }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request of `organisation`, or refuses it when the queue is full or the
    /// request is expected to wait beyond its `until`. `rate` is the rate, in tokens a
    /// second, at which requests left the queue recently.
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

    /// Counts a request that proceeds without waiting.
    pub fn pass(&mut self, organisation: &str, weight: f64, cost: u64) {
        let time = self.time;
        let flow = self.flows.entry(organisation.to_owned()).or_default();
        flow.weight = weight;
        flow.finish = flow.finish.max(time) + cost as f64 / weight;
    }

    /// Takes the next request.
    pub fn pop(&mut self, now: Instant) -> Option<QueuedRequest> {
        let aging = self.limits.aging;
        self.take(|it| it.len() > 0, |it| it.pop(now, aging))
    }

    /// Takes the next short request.
    pub fn pop_short(&mut self) -> Option<QueuedRequest> {
        self.take(|it| !it.short.is_empty(), |it| it.short.pop_front())
    }

    /// Whether a request of `cost` tokens counts as short.
    pub fn is_short(&self, cost: u64) -> bool {
        cost <= self.limits.short_tokens
    }

    /// Takes a request from the organisation with the lowest start tag among those for
    /// which `has` is true.
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
        self.drop_idle();
        Some(item)
    }

    /// Removes and returns every request whose `until` has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<QueuedRequest> {
        let mut expired = Vec::new();
        for flow in self.flows.values_mut() {
            flow.retain(|it| {
                let keep = it.until > now;
                if !keep {
                    expired.push(it.clone());
                }
                keep
            });
        }
        self.len -= expired.len();
        self.tokens -= expired.iter().map(|it| it.cost).sum::<u64>();
        expired
    }

    /// Removes the request with `id`, whose caller has left.
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

    /// Returns the time until a request of `organisation` would leave the queue: the tokens
    /// that go before it, by the organisation's share among the waiting ones, divided by
    /// the rate.
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
        let by_share = ahead as f64 * (weight + others) / weight;
        let tokens = by_share.min(self.tokens as f64);
        Duration::try_from_secs_f64(tokens / rate).unwrap_or(Duration::MAX)
    }

    /// Drops flows without waiting requests whose finish tag is not ahead of the virtual time.
    fn drop_idle(&mut self) {
        let time = self.time;
        self.flows.retain(|_, it| it.len() > 0 || it.finish > time);
    }
}
