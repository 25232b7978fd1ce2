//! The requests that wait for room of one service.

use std::collections::{BTreeMap, HashMap};

use smallvec::SmallVec;

use crate::decide::shortage::{Lane, Standing};

/// After so many requests in a row that went before less urgent ones, one of those goes.
const MAX_PASSED_OVER: u32 = 8;
/// Limit on the organisations whose turns are remembered while none of their requests wait.
const MAX_IDLE: usize = 1_024;

key! {
    /// Place of a waiting request; the least goes first. Within a lane, organisations take
    /// turns.
    pub struct WaitKey {
        /// Urgency and standing.
        pub lane: Lane,
        /// Turn of the request among those of other organisations.
        turn: u64,
        /// Order of arrival.
        arrival: u64,
    }
}

/// A waiting request.
#[derive(Debug, Clone)]
struct Entry<T> {
    organisation: u64,
    item: T,
}

/// The requests of one organisation.
#[derive(Debug, Clone, Default)]
struct Flow {
    /// Turn after the last one that it got.
    next_turn: u64,
    waiting: usize,
}

/// Number of waiting requests in one lane.
#[derive(Debug, Clone)]
struct LaneCount {
    lane: Lane,
    waiting: usize,
}

/// A queue by rank and standing, in which organisations take turns by start-time fair queueing
/// (Goyal, Vin and Cheng, 1996), one turn a request. Less urgent requests go first now and then.
#[derive(Debug, Clone)]
pub struct WaitQueue<T> {
    waiting: BTreeMap<WaitKey, Entry<T>>,
    flows: HashMap<u64, Flow>,
    /// Invariant: consistent with `waiting`.
    counts: SmallVec<[LaneCount; 8]>,
    /// Number of flows with waiting requests.
    active: usize,
    /// Turn of the request that left last.
    turn: u64,
    arrivals: u64,
    passed_over: u32,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> WaitQueue<T> {
        WaitQueue {
            waiting: BTreeMap::new(),
            flows: HashMap::new(),
            counts: SmallVec::new(),
            active: 0,
            turn: 0,
            arrivals: 0,
            passed_over: 0,
        }
    }
}

impl<T> WaitQueue<T> {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request of `organisation`.
    pub fn push(&mut self, lane: Lane, organisation: u64, item: T) -> WaitKey {
        let turn = self.next_turn(organisation);
        self.arrivals += 1;
        let key = WaitKey { lane, turn, arrival: self.arrivals };
        self.restore(key, organisation, item);
        if let Some(flow) = self.flows.get_mut(&organisation) {
            flow.next_turn = turn + 1;
        }
        key
    }

    /// Puts a request that left back to the place that it had.
    pub fn restore(&mut self, key: WaitKey, organisation: u64, item: T) {
        if self.waiting.insert(key, Entry { organisation, item }).is_some() {
            return;
        }
        self.drop_idle_flows();
        let flow = self.flows.entry(organisation).or_default();
        flow.waiting += 1;
        self.active += usize::from(flow.waiting == 1);
        match self.counts.iter_mut().find(|it| it.lane == key.lane) {
            Some(it) => it.waiting += 1,
            None => self.counts.push(LaneCount { lane: key.lane, waiting: 1 }),
        }
    }

    /// Removes a request that waits no longer; `None` if it had left the queue.
    pub fn remove(&mut self, key: WaitKey) -> Option<T> {
        let entry = self.waiting.remove(&key)?;
        if let Some(it) = self.counts.iter_mut().find(|it| it.lane == key.lane) {
            it.waiting -= 1;
        }
        if let Some(flow) = self.flows.get_mut(&entry.organisation) {
            flow.waiting -= 1;
            self.active -= usize::from(flow.waiting == 0);
        }
        Some(entry.item)
    }

    /// Takes the request that goes next.
    pub fn pop(&mut self) -> Option<T> {
        let key = self.next()?;
        self.turn = self.turn.max(key.turn);
        self.remove(key)
    }

    /// Number of requests that go before a new one of `organisation` in `lane`.
    pub fn ahead(&self, lane: Lane, organisation: u64) -> usize {
        let before: usize =
            self.counts.iter().filter(|it| it.lane < lane).map(|it| it.waiting).sum();
        let beside = self.counts.iter().find(|it| it.lane == lane).map_or(0, |it| it.waiting);
        // Until its turn, each other organisation gets as many as there are turns.
        let turns = (self.next_turn(organisation) - self.turn) as usize;
        before + beside.min((turns + 1).saturating_mul(self.active))
    }

    /// Whether others wait that go before a new request in `lane`.
    pub fn goes_after(&self, lane: Lane) -> bool {
        self.waiting.first_key_value().is_some_and(|(key, _)| key.lane <= lane)
    }

    fn next_turn(&self, organisation: u64) -> u64 {
        self.flows.get(&organisation).map_or(self.turn, |it| it.next_turn.max(self.turn))
    }

    fn next(&mut self) -> Option<WaitKey> {
        let first = *self.waiting.first_key_value()?.0;
        let last = self.waiting.last_key_value()?.0;
        if last.lane.rank == first.lane.rank {
            self.passed_over = 0;
            return Some(first);
        }
        self.passed_over += 1;
        if self.passed_over <= MAX_PASSED_OVER {
            return Some(first);
        }
        self.passed_over = 0;
        self.oldest_after(first.lane.rank)
    }

    /// The oldest one among the first requests of each rank after `rank`.
    fn oldest_after(&self, rank: u8) -> Option<WaitKey> {
        let mut oldest: Option<WaitKey> = None;
        let mut next = first_key(rank.checked_add(1)?);
        while let Some((key, _)) = self.waiting.range(next..).next() {
            if oldest.is_none_or(|it| key.arrival < it.arrival) {
                oldest = Some(*key);
            }
            match key.lane.rank.checked_add(1) {
                Some(rank) => next = first_key(rank),
                None => break,
            }
        }
        oldest
    }

    fn drop_idle_flows(&mut self) {
        if self.flows.len() > MAX_IDLE.max(2 * self.active) {
            let turn = self.turn;
            self.flows.retain(|_, it| it.waiting > 0 || it.next_turn > turn);
        }
    }
}

/// A key before all those of `rank`.
fn first_key(rank: u8) -> WaitKey {
    WaitKey { lane: Lane { rank, standing: Standing::Resumed }, turn: 0, arrival: 0 }
}
