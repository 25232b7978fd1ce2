//! The choice of a backend server by the tokens of a request: where its prompt is read in time,
//! and where its memory fits.

use std::time::Duration;

use smallvec::SmallVec;

use crate::decide::pick::{LoadBound, load_limit};
use crate::decide::{Candidate, TokenPlace, combine};

/// Share of the latency objective within which a prompt is to be read. The rest is for slots,
/// for network latency, and for prompts that become known late.
const READING_SHARE: f64 = 0.5;
/// Share of the latency objective up to which a wait alone moves no request, as its prefix may be
/// cached where it is.
const SMALL_WAIT_SHARE: f64 = 0.125;
/// Share of the shortest objective of a service from which on a prompt is long: while it is read,
/// others wait for a good part of the time that they have.
const LONG_SHARE: f64 = 0.25;
/// Servers considered in place of the first choice.
const MAX_ALTERNATIVES: usize = 8;

plain! {
    /// What the tokens of a request are judged by, besides the servers.
    #[derive(Copy)]
    pub struct TokenQuery {
        /// Orders the servers: the request's prefix, or else its id.
        pub key: u64,
        /// The latency objective of the request.
        pub objective: Duration,
        /// The shortest objective of the service.
        pub min_objective: Duration,
        /// Tokens of a server's memory.
        pub memory: u64,
    }
}

impl TokenQuery {
    /// Chooses a server for a request that would go to the candidate `first` otherwise. It stays
    /// there if its prompt is read in time and its memory fits; else it goes to the next candidate
    /// in the order of its key of which this holds, within `bound`. If there is none, memory counts
    /// more than reading. Returns `None` if it fits nowhere and may not wait for memory either.
    pub fn choose(
        &self,
        candidates: &[Candidate],
        first: usize,
        bound: &LoadBound,
        place: impl Fn(usize) -> TokenPlace,
    ) -> Option<usize> {
        let home = place(first);
        if self.reads_in_time(&home) && self.fits(&home) {
            return Some(first);
        }
        let limit = load_limit(candidates, bound);
        let others = self.alternatives(candidates, first, limit).into_iter();
        let others: SmallVec<[(usize, TokenPlace); MAX_ALTERNATIVES]> =
            others.map(|at| (at, place(at))).collect();
        let mut fitting = others.iter().filter(|(_, it)| self.fits(it));
        if let Some((at, _)) = fitting.clone().find(|(_, it)| self.reads_in_time(it)) {
            return Some(*at);
        }
        if self.fits(&home) {
            return Some(first);
        }
        if let Some((at, _)) = fitting.next() {
            return Some(*at);
        }
        if self.may_wait(&home, &candidates[first]) {
            return Some(first);
        }
        self.least_held(candidates, limit, place)
    }

    /// Whether the prompt is read in time at `place`. A long prompt is not sent to a server that
    /// has another long one to read.
    fn reads_in_time(&self, place: &TokenPlace) -> bool {
        // Where nothing is ahead of it, no other server reads it sooner.
        let Some(rate) = place.rate.filter(|_| place.ahead > 0) else {
            return true;
        };
        let (wait, own) = (place.ahead as f64 / rate, place.unread as f64 / rate);
        let long = self.min_objective.as_secs_f64() * LONG_SHARE;
        let objective = self.objective.as_secs_f64();
        let max_wait = (objective * READING_SHARE - own).max(objective * SMALL_WAIT_SHARE);
        let is_second_long = own >= long && wait >= long;
        wait <= max_wait && !is_second_long
    }

    /// Whether the request fits into the memory at `place` now.
    fn fits(&self, place: &TokenPlace) -> bool {
        place.held.saturating_add(place.added) <= self.memory
    }

    /// Whether it may wait for memory at `place`: as many tokens may wait for each token of memory
    /// as requests may wait for each slot of `candidate`.
    fn may_wait(&self, place: &TokenPlace, candidate: &Candidate) -> bool {
        let queue = f64::from(candidate.max_load) / f64::from(candidate.slots.max(1));
        let max = (self.memory as f64 * queue.max(1.0)) as u64;
        place.is_idle || place.held.saturating_add(place.added) <= max
    }

    /// The candidates after `first` in the order of the key whose load is below `limit`.
    fn alternatives(
        &self,
        candidates: &[Candidate],
        first: usize,
        limit: f64,
    ) -> SmallVec<[usize; MAX_ALTERNATIVES]> {
        let mut ranked: SmallVec<[(u64, usize); MAX_ALTERNATIVES]> = SmallVec::new();
        for (at, it) in candidates.iter().enumerate() {
            let rank = combine(self.key, it.hash);
            let is_full = ranked.len() == MAX_ALTERNATIVES;
            let is_lower = is_full && rank < ranked[MAX_ALTERNATIVES - 1].0;
            if at == first || is_lower || !is_open(it, limit) {
                continue;
            }
            if is_full {
                ranked.pop();
            }
            let position = ranked.partition_point(|(other, _)| *other > rank);
            ranked.insert(position, (rank, at));
        }
        ranked.into_iter().map(|(_, at)| at).collect()
    }

    /// The candidate with the fewest tokens held of those at which the request may wait.
    fn least_held(
        &self,
        candidates: &[Candidate],
        limit: f64,
        place: impl Fn(usize) -> TokenPlace,
    ) -> Option<usize> {
        let open = candidates.iter().enumerate().filter(|(_, it)| is_open(it, limit));
        let places = open.map(|(at, it)| (at, it, place(at)));
        let waiting = places.filter(|(_, candidate, it)| self.may_wait(it, candidate));
        waiting.min_by_key(|(_, _, it)| it.held.saturating_add(it.added)).map(|(at, ..)| at)
    }
}

fn is_open(candidate: &Candidate, limit: f64) -> bool {
    let has_room = candidate.load < candidate.max_load && f64::from(candidate.load) < limit;
    !candidate.closed && has_room
}
