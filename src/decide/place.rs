//! Placement: the choice of an engine for a request.

use crate::decide::{Engine, combine};

/// Share of the slack above the mean load that a chat may use at its home engine
/// when [`TYPICAL_CACHED`] of its tokens are cached there.
const HOME_SLACK: f64 = 0.8;
/// Change of that share for each unit by which the cached share of the tokens differs
/// from [`TYPICAL_CACHED`].
const CACHED_SLACK: f64 = 3.0;
/// Share of the mean load by which another engine must end up lower for a chat to
/// leave its home.
const MOVE_GAIN: f64 = 0.05;
/// Typical cached share of the tokens of a returning request.
const TYPICAL_CACHED: f64 = 0.6;
/// Share of the slack up to which chats without a home are placed.
const NEW_CHAT_SLACK: f64 = 0.4;
/// Minimum free capacity of an engine in the ranking, as a share of the mean load.
const MIN_CAPACITY: f64 = 1e-6;
/// Low bits of a hash that its mapping to a number between 0 and 1 drops.
const UNIT_SHIFT: u32 = 11;
/// Count of the numbers between 0 and 1 that hashes are mapped to.
const UNIT_STEPS: f64 = (1u64 << 53) as f64;
/// Maximum rounding error of a number between 0 and 1, in steps.
const ROUNDING_STEPS: u64 = 4;

plain! {
    /// What placement needs to know about a request.
    pub struct PlaceQuery<'a> {
        /// Key of the chat and its model.
        pub key: u64,
        /// Engine that caches the chat's prefix, and its incarnation.
        pub hint: Option<(u64, u64)>,
        /// Tokens that the request adds to an engine that has nothing cached.
        pub cost: u64,
        /// Tokens that it adds to the hinted engine; at most `cost`.
        pub warm_cost: u64,
        /// Maximum load as a multiple of the mean; above 1.
        pub bound: f64,
        /// Engines already attempted, by index.
        pub attempted: &'a [usize],
    }
}

key! {
    /// The outcome of a placement.
    pub struct Placement {
        /// Index of the engine.
        pub index: usize,
        /// Whether an engine other than the one that caches the prefix was chosen.
        pub spilled: bool,
    }
}

/// Engines with the mean of their estimated loads.
struct EngineLoads<'a> {
    engines: &'a [Engine],
    attempted: &'a [usize],
    /// Mean load per unit of weight.
    mean: f64,
    /// Maximum weight of an engine that is not leaving.
    max_weight: f64,
}

impl EngineLoads<'_> {
    fn new<'a>(engines: &'a [Engine], attempted: &'a [usize]) -> EngineLoads<'a> {
        let (mut tokens, mut weight, mut max_weight) = (0, 0.0, 0.0);
        for it in engines {
            if it.leaving {
                continue;
            }
            tokens += it.tokens();
            weight += it.weight;
            if it.weight > max_weight {
                max_weight = it.weight;
            }
        }
        let mean = if weight > 0.0 { tokens as f64 / weight } else { 0.0 };
        EngineLoads { engines, attempted, mean, max_weight }
    }

    /// Whether the engine at `index` may be chosen.
    fn is_open(&self, index: usize) -> bool {
        let it = &self.engines[index];
        let closed = it.leaving || self.attempted.contains(&index);
        !closed && (!it.sent.is_down() || self.is_majority_down())
    }

    /// Whether so many engines refused connections that either the others could not carry
    /// the load or this router itself is at fault.
    fn is_majority_down(&self) -> bool {
        let weight = |down: bool| -> f64 {
            let listed = self.engines.iter().filter(|it| !it.leaving);
            listed.filter(|it| it.sent.is_down() == down).map(|it| it.weight).sum()
        };
        weight(true) > weight(false)
    }

    /// Returns the index of the open engine with `id` and `incarnation`.
    fn home(&self, (id, incarnation): (u64, u64)) -> Option<usize> {
        let found = |it: &Engine| it.id == id && it.incarnation == incarnation;
        self.engines.iter().position(found).filter(|&at| self.is_open(at))
    }

    /// Returns the load of the engine at `index` with `cost` more tokens.
    fn load_with(&self, index: usize, cost: u64) -> f64 {
        let it = &self.engines[index];
        (it.tokens() + cost) as f64 / it.weight
    }

    /// Whether a chat may stay at its home engine: while the load there is not above the
    /// mean, or exceeds it by no more than a slack that grows with the share of the tokens
    /// that are cached there.
    fn may_stay(&self, home: usize, query: &PlaceQuery<'_>) -> bool {
        let cached = 1.0 - query.warm_cost as f64 / query.cost.max(1) as f64;
        let slack = HOME_SLACK + CACHED_SLACK * (cached - TYPICAL_CACHED);
        let limit = self.mean * (1.0 + slack * (query.bound - 1.0));
        self.load_with(home, 0) <= self.mean || self.load_with(home, query.warm_cost) <= limit
    }

    /// Returns the open engine with the highest rendezvous score for the query's key,
    /// weighted by free capacity.
    fn ranked(&self, query: &PlaceQuery<'_>) -> Option<usize> {
        let limit = self.mean * (1.0 + NEW_CHAT_SLACK * (query.bound - 1.0));
        let min = (self.mean * MIN_CAPACITY).max(MIN_CAPACITY);
        let capacity = |it: &Engine, tokens: u64| (limit * it.weight - tokens as f64).max(min);
        let max_capacity = (limit * self.max_weight).max(min);
        let mut best = None;
        let mut best_score = 0.0;
        let mut floor = 0;
        for (i, it) in self.engines.iter().enumerate() {
            let hash = combine(query.key, it.id);
            if hash < floor || it.leaving {
                continue;
            }
            let unit = unit(hash);
            let capacity = capacity(it, it.tokens());
            // The score is at most capacity / (1 - unit), which avoids most logarithms.
            if capacity <= best_score * (1.0 - unit) {
                continue;
            }
            let score = -capacity / unit.ln();
            if score > best_score && self.is_open(i) {
                (best, best_score) = (Some(i), score);
                floor = min_hash(best_score / max_capacity);
            }
        }
        best
    }
}

/// Returns a hash below which no score of an engine of capacity 1 reaches `score`: the
/// score of a number `u` is at most `1 / (1 - u)`.
fn min_hash(score: f64) -> u64 {
    let number = (1.0 - 1.0 / score).max(0.0) * UNIT_STEPS;
    (number as u64).saturating_sub(ROUNDING_STEPS) << UNIT_SHIFT
}

/// Maps a hash to a number between 0 and 1, both excluded.
fn unit(hash: u64) -> f64 {
    ((hash >> UNIT_SHIFT) as f64 + 0.5) / UNIT_STEPS
}

/// Chooses an engine: the one that caches the prefix, unless its load is too far above
/// the mean and another engine would carry less; else by weighted rendezvous hashing
/// (Schindelhauer and Schomaker 2005) among all engines, each weighted by its estimated
/// free capacity.
///
/// The weights change with the load reports, so that routers with the same stale report
/// spread their requests over all engines with free capacity instead of all choosing the
/// least loaded one. Returns `None` when no engine takes work.
pub fn place(engines: &[Engine], query: &PlaceQuery<'_>) -> Option<Placement> {
    let loads = EngineLoads::new(engines, query.attempted);
    let home = query.hint.and_then(|it| loads.home(it));
    if let Some(index) = home.filter(|&it| loads.may_stay(it, query)) {
        return Some(Placement { index, spilled: false });
    }
    let other = loads.ranked(query)?;
    let gain = MOVE_GAIN * loads.mean;
    match home {
        Some(index)
            if loads.load_with(index, query.warm_cost)
                <= loads.load_with(other, query.cost) + gain =>
        {
            Some(Placement { index, spilled: false })
        }
        _ => Some(Placement { index: other, spilled: home.is_some_and(|it| it != other) }),
    }
}
