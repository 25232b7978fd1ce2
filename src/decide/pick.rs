//! Which backend server gets a request that is passed on.

use std::cmp::Ordering;

use crate::decide::combine;

key! {
    /// A backend server that may be chosen.
    pub struct Candidate {
        /// Hash of its name, the same at all routers.
        pub hash: u64,
        /// Requests that it holds, as far as known.
        pub load: u32,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Requests that it may hold, those that wait among them.
        pub max_load: u32,
        /// It is not to be used: tried already, unreachable or failing.
        pub closed: bool,
    }
}

plain! {
    /// How far loads may differ.
    pub struct LoadBound {
        /// Multiple of the mean load.
        pub factor: f64,
        /// Requests above that multiple.
        pub extra: f64,
    }
}

/// Chooses among `candidates`: with a `key`, the first in its rendezvous order
/// that is within the bound, so that all routers send one key to one server;
/// else the least loaded. `seed` breaks ties. None when all are closed or full.
///
/// Rendezvous hashing after Thaler and Ravishankar (1998), with bounded loads
/// after Mirrokni, Thorup and Zadimoghaddam (2018).
pub fn pick(
    candidates: &[Candidate],
    key: Option<u64>,
    bound: &LoadBound,
    seed: u64,
) -> Option<usize> {
    let open = |it: &Candidate| !it.closed && it.load < it.max_load;
    let count = candidates.iter().filter(|it| !it.closed).count();
    let total: u32 = candidates.iter().filter(|it| !it.closed).map(|it| it.load).sum();
    let mean = f64::from(total) / count.max(1) as f64;
    let limit = mean * bound.factor + bound.extra;
    let within = |it: &Candidate| open(it) && f64::from(it.load) < limit;
    let home = key.and_then(|key| best(candidates, within, |it| combine(key, it.hash)));
    home.or_else(|| {
        best(candidates, open, |it| {
            let room = -f64::from(it.load) / f64::from(it.slots.max(1));
            (room, combine(seed, it.hash))
        })
    })
}

fn best<S: PartialOrd>(
    candidates: &[Candidate],
    open: impl Fn(&Candidate) -> bool,
    score: impl Fn(&Candidate) -> S,
) -> Option<usize> {
    let all = candidates.iter().enumerate().filter(|(_, it)| open(it));
    let scored = all.map(|(at, it)| (at, score(it)));
    // Scores are always comparable: a room is no NaN.
    scored.max_by(|a, b| a.1.partial_cmp(&b.1).unwrap_or(Ordering::Equal)).map(|(at, _)| at)
}
