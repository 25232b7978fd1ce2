//! Where a request goes.

use crate::decide::{Engine, weighted_score};

plain! {
    /// What placement needs to know about a request.
    pub struct PlaceQuery<'a> {
        /// Key of the chat and its model.
        pub key: u64,
        /// Engine and incarnation that the caller says holds its prefix.
        pub hint: Option<(u64, u64)>,
        /// Tokens that the request adds where nothing is cached.
        pub cost: u64,
        /// Tokens that it adds at the hinted engine; at most `cost`.
        pub warm: u64,
        /// Largest load as a multiple of the mean; above 1.
        pub bound: f64,
        /// Candidates already tried, by index.
        pub tried: &'a [usize],
    }
}

key! {
    /// The outcome of a placement.
    pub struct Choice {
        /// Index of the engine.
        pub index: usize,
        /// Whether the first of the rank was passed over.
        pub spilled: bool,
    }
}

/// Chooses an engine: the hinted one or else the highest in the rank whose load
/// stays within the bound, else the least loaded.
///
/// Bounded loads as in Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing
/// with Bounded Loads" (2016). Returns `None` when no engine takes work.
pub fn place(engines: &[Engine], query: &PlaceQuery<'_>) -> Option<Choice> {
    let open = |i: &usize| !engines[*i].leaving && !query.tried.contains(i);
    let count = engines.iter().filter(|it| !it.leaving).count();
    if count == 0 {
        return None;
    }
    let loads = engines.iter().filter(|it| !it.leaving).map(Engine::load);
    let mean = (loads.sum::<f64>() + query.cost as f64) / count as f64;
    let limit = (mean * query.bound).max(query.cost as f64);
    let fits = |it: &Engine| it.load() + query.cost as f64 / it.weight <= limit;
    let mut first: Option<(f64, usize)> = None;
    let mut best: Option<(f64, usize)> = None;
    let mut least: Option<(f64, usize)> = None;
    for i in (0..engines.len()).filter(open) {
        let it = &engines[i];
        let hinted = query.hint == Some((it.id, it.incarnation));
        let score =
            if hinted { f64::INFINITY } else { weighted_score(query.key, it.id, it.weight) };
        if first.is_none_or(|(top, _)| score > top) {
            first = Some((score, i));
        }
        if fits(it) && best.is_none_or(|(top, _)| score > top) {
            best = Some((score, i));
        }
        if least.is_none_or(|(low, _)| it.load() < low) {
            least = Some((it.load(), i));
        }
    }
    let (_, index) = best.or(least)?;
    Some(Choice { index, spilled: first.is_some_and(|(_, top)| top != index) })
}
