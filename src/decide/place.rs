//! Where a request goes.

use crate::decide::{Engine, combine};

/// Part of the slack above the mean that a chat may use at its home engine
/// when [`USUAL_HELD`] of its tokens are cached there.
const HOME_SLACK: f64 = 0.8;
/// Further part of the slack for each further share of tokens that is cached.
const HELD_SLACK: f64 = 3.0;
/// Part of the mean by which another engine must end up lower for a chat to
/// leave its home.
const MOVE_GAIN: f64 = 0.05;
/// Usual share of a returning request's tokens that are cached.
const USUAL_HELD: f64 = 0.6;
/// Part of the slack up to which chats without a home are placed.
const FRESH_SLACK: f64 = 0.4;
/// Smallest room of an engine, as a share of the mean, in the rank.
const MIN_ROOM: f64 = 1e-6;
/// Bits of a hash that a number between 0 and 1 leaves out.
const UNIT_SHIFT: u32 = 11;
/// Numbers between 0 and 1 that hashes are mapped to.
const UNIT_STEPS: f64 = (1u64 << 53) as f64;
/// Steps that rounding may cost.
const ROUNDING_STEPS: u64 = 4;

plain! {
    /// What placement needs to know about a request.
    pub struct PlaceQuery<'a> {
        /// Key of the chat and its model.
        pub key: u64,
        /// Engine and incarnation that hold its prefix.
        pub hint: Option<(u64, u64)>,
        /// Tokens that the request adds where nothing is cached.
        pub cost: u64,
        /// Tokens that it adds at the hinted engine; at most `cost`.
        pub warm_cost: u64,
        /// Largest load as a multiple of the mean; above 1.
        pub bound: f64,
        /// Candidates already attempted, by index.
        pub attempted: &'a [usize],
    }
}

key! {
    /// The outcome of a placement.
    pub struct Placement {
        /// Index of the engine.
        pub index: usize,
        /// Whether the engine that holds the prefix was passed over.
        pub spilled: bool,
    }
}

/// Engines with the mean of their estimated loads.
struct Field<'a> {
    engines: &'a [Engine],
    attempted: &'a [usize],
    /// Mean load by weight.
    mean: f64,
    /// Largest weight of an engine that is not leaving.
    largest: f64,
}

impl Field<'_> {
    fn new<'a>(engines: &'a [Engine], attempted: &'a [usize]) -> Field<'a> {
        let (mut tokens, mut weight, mut largest) = (0, 0.0, 0.0);
        for it in engines {
            if it.leaving {
                continue;
            }
            tokens += it.tokens();
            weight += it.weight;
            if it.weight > largest {
                largest = it.weight;
            }
        }
        let mean = if weight > 0.0 { tokens as f64 / weight } else { 0.0 };
        Field { engines, attempted, mean, largest }
    }

    /// Whether the engine at `index` may be chosen.
    fn is_open(&self, index: usize) -> bool {
        let it = &self.engines[index];
        let closed = it.leaving || self.attempted.contains(&index);
        !closed && (!it.sent.is_down() || self.most_are_down())
    }

    /// Whether so many engines refused connections that the rest could not carry
    /// the load, or the fault is this router's.
    fn most_are_down(&self) -> bool {
        let weight = |down: bool| -> f64 {
            let listed = self.engines.iter().filter(|it| !it.leaving);
            listed.filter(|it| it.sent.is_down() == down).map(|it| it.weight).sum()
        };
        weight(true) > weight(false)
    }

    /// Index of the open engine with `id` in the incarnation `incarnation`.
    fn home(&self, (id, incarnation): (u64, u64)) -> Option<usize> {
        let found = |it: &Engine| it.id == id && it.incarnation == incarnation;
        self.engines.iter().position(found).filter(|&at| self.is_open(at))
    }

    /// Load of the engine at `index` after `cost` more tokens.
    fn after(&self, index: usize, cost: u64) -> f64 {
        let it = &self.engines[index];
        (it.tokens() + cost) as f64 / it.weight
    }

    /// Whether a chat may stay at its home: this is so while the engine is not
    /// above the mean, and further up for what would be lost elsewhere.
    fn may_stay(&self, home: usize, query: &PlaceQuery<'_>) -> bool {
        let held = 1.0 - query.warm_cost as f64 / query.cost.max(1) as f64;
        let part = HOME_SLACK + HELD_SLACK * (held - USUAL_HELD);
        let limit = self.mean * (1.0 + part * (query.bound - 1.0));
        self.after(home, 0) <= self.mean || self.after(home, query.warm_cost) <= limit
    }

    /// The open engine that wins the rank of `key`, weighted by the room that
    /// each has left.
    fn ranked(&self, query: &PlaceQuery<'_>) -> Option<usize> {
        let top = self.mean * (1.0 + FRESH_SLACK * (query.bound - 1.0));
        let least = (self.mean * MIN_ROOM).max(MIN_ROOM);
        let weight = |it: &Engine, tokens: u64| (top * it.weight - tokens as f64).max(least);
        let cap = (top * self.largest).max(least);
        let mut best = None;
        let mut most = 0.0;
        let mut floor = 0;
        for (i, it) in self.engines.iter().enumerate() {
            let hash = combine(query.key, it.id);
            if hash < floor || it.leaving {
                continue;
            }
            let unit = unit(hash);
            let weight = weight(it, it.tokens());
            // The score is at most weight / (1 - unit), which spares most logarithms.
            if weight <= most * (1.0 - unit) {
                continue;
            }
            let score = -weight / unit.ln();
            if score > most && self.is_open(i) {
                (best, most) = (Some(i), score);
                floor = least_hash(most / cap);
            }
        }
        best
    }
}

/// A hash below which no score of a weight of 1 reaches `score`: the score of a
/// number `u` is at most `1 / (1 - u)`.
fn least_hash(score: f64) -> u64 {
    let number = (1.0 - 1.0 / score).max(0.0) * UNIT_STEPS;
    (number as u64).saturating_sub(ROUNDING_STEPS) << UNIT_SHIFT
}

/// A hash as a number between 0 and 1, both excluded.
fn unit(hash: u64) -> f64 {
    ((hash >> UNIT_SHIFT) as f64 + 0.5) / UNIT_STEPS
}

/// Chooses an engine: the one that holds the prefix unless its load is too far
/// above the mean and another would carry less, else by weighted rendezvous
/// (Schindelhauer and Schomaker 2005) among all, each weighted by the room that
/// its estimated load leaves.
///
/// The weights change with the reports, so that routers with one stale report
/// spread over all engines with room in place of herding on the emptiest.
/// Returns `None` when no engine takes work.
pub fn place(engines: &[Engine], query: &PlaceQuery<'_>) -> Option<Placement> {
    let field = Field::new(engines, query.attempted);
    let home = query.hint.and_then(|it| field.home(it));
    if let Some(index) = home.filter(|&it| field.may_stay(it, query)) {
        return Some(Placement { index, spilled: false });
    }
    let other = field.ranked(query)?;
    let gain = MOVE_GAIN * field.mean;
    match home {
        Some(index)
            if field.after(index, query.warm_cost) <= field.after(other, query.cost) + gain =>
        {
            Some(Placement { index, spilled: false })
        }
        _ => Some(Placement { index: other, spilled: home.is_some_and(|it| it != other) }),
    }
}
