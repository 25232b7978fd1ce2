//! Baselines that placement is compared with: simple policies and an earlier version.

use crate::decide::{Engine, PlaceQuery, Placement, weighted_score};

/// Chooses the next open engine after `last`.
pub fn round_robin(engines: &[Engine], query: &PlaceQuery<'_>, last: usize) -> Option<Placement> {
    let count = engines.len();
    let index = (1..=count).map(|i| (last + i) % count).find(|&i| is_open(engines, query, i))?;
    Some(Placement { index, spilled: false })
}

/// Chooses the open engine with the lowest reported load.
pub fn least_loaded(engines: &[Engine], query: &PlaceQuery<'_>) -> Option<Placement> {
    let open = (0..engines.len()).filter(|&i| is_open(engines, query, i));
    let index = open.min_by(|&a, &b| engines[a].load().total_cmp(&engines[b].load()))?;
    Some(Placement { index, spilled: false })
}

/// Chooses the open engine with the highest rendezvous score, whatever its load.
pub fn rendezvous(engines: &[Engine], query: &PlaceQuery<'_>) -> Option<Placement> {
    let score = |i: usize| weighted_score(query.key, engines[i].id, engines[i].weight);
    let open = (0..engines.len()).filter(|&i| is_open(engines, query, i));
    let index = open.max_by(|&a, &b| score(a).total_cmp(&score(b)))?;
    Some(Placement { index, spilled: false })
}

/// The first version of placement: among the engines whose load stays within the
/// bound, the hinted one or else the one with the highest rendezvous score; if none
/// stays within the bound, the least loaded one.
///
/// Bounded loads as in Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing
/// with Bounded Loads" (2016).
pub fn place_v1(engines: &[Engine], query: &PlaceQuery<'_>) -> Option<Placement> {
    let count = engines.iter().filter(|it| !it.leaving).count();
    if count == 0 {
        return None;
    }
    let loads = engines.iter().filter(|it| !it.leaving).map(Engine::load);
    let mean = (loads.sum::<f64>() + query.cost as f64) / count as f64;
    let limit = (mean * query.bound).max(query.cost as f64);
    let fits = |it: &Engine| it.load() + query.cost as f64 / it.weight <= limit;
    let score = |it: &Engine| match query.hint == Some((it.id, it.incarnation)) {
        true => f64::INFINITY,
        false => weighted_score(query.key, it.id, it.weight),
    };
    let mut preferred: Option<(f64, usize)> = None;
    let mut best: Option<(f64, usize)> = None;
    for i in (0..engines.len()).filter(|&i| is_open(engines, query, i)) {
        let it = &engines[i];
        let score = score(it);
        if preferred.is_none_or(|(top, _)| score > top) {
            preferred = Some((score, i));
        }
        if fits(it) && best.is_none_or(|(top, _)| score > top) {
            best = Some((score, i));
        }
    }
    let index = match best {
        Some((_, index)) => index,
        None => least_loaded(engines, query)?.index,
    };
    Some(Placement { index, spilled: preferred.is_some_and(|(_, top)| top != index) })
}

fn is_open(engines: &[Engine], query: &PlaceQuery<'_>, index: usize) -> bool {
    !engines[index].leaving && !query.attempted.contains(&index)
}
