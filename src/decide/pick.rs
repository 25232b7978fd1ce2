//! The choice of a backend server for a relayed request.

use std::cmp::{Ordering, Reverse};

use smallvec::SmallVec;

use crate::decide::combine;

key! {
    /// A backend server that may be chosen.
    pub struct Candidate {
        /// Hash of its name, the same on all routers.
        pub hash: u64,
        /// Requests in flight there, as far as known.
        pub load: u32,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Maximum number of requests in flight there, including those that wait.
        pub max_load: u32,
        /// It must not be used: already attempted, unreachable or failing.
        pub closed: bool,
    }
}

plain! {
    /// How far the load of a server may exceed the mean.
    pub struct LoadBound {
        /// Multiple of the mean load.
        pub factor: f64,
        /// Requests above that multiple.
        pub extra: f64,
    }
}

/// Chooses among `candidates`, by index. With a `key`, this is the first candidate in
/// the key's rendezvous order whose load is within the bound, so that all routers send
/// one key to the same server. Without a key, or if no candidate is within the bound, it
/// is the least loaded one; `seed` breaks ties. Returns `None` when all are closed or full.
///
/// Other routers have `competing` requests with the key in flight that they have not reported
/// yet. If these are more than the first candidate has room for, the first candidates whose room
/// is enough share them, each in proportion to its room: otherwise all routers would fill the
/// first one at once, unaware of each other.
///
/// Rendezvous hashing after Thaler and Ravishankar (1998), with bounded loads
/// after Mirrokni, Thorup and Zadimoghaddam (2018).
pub fn pick(
    candidates: &[Candidate],
    key: Option<u64>,
    competing: f64,
    bound: &LoadBound,
    seed: u64,
) -> Option<usize> {
    let open = |it: &Candidate| !it.closed && it.load < it.max_load;
    let limit = load_limit(candidates, bound);
    let room = |it: &Candidate| if open(it) { limit - f64::from(it.load) } else { 0.0 };
    let home = key.and_then(|key| {
        let first = best(candidates, |it| room(it) > 0.0, |it| combine(key, it.hash))?;
        if room(&candidates[first]) >= competing {
            return Some(first);
        }
        Some(share(candidates, key, competing, room, seed).unwrap_or(first))
    });
    home.or_else(|| {
        best(candidates, open, |it| {
            let idleness = -f64::from(it.load) / f64::from(it.slots.max(1));
            (idleness, combine(seed, it.hash))
        })
    })
}

/// The load up to which a candidate is within `bound`.
pub(crate) fn load_limit(candidates: &[Candidate], bound: &LoadBound) -> f64 {
    let count = candidates.iter().filter(|it| !it.closed).count();
    let total: u32 = candidates.iter().filter(|it| !it.closed).map(|it| it.load).sum();
    let mean = f64::from(total) / count.max(1) as f64;
    mean * bound.factor + bound.extra
}

/// Chooses one of the first candidates in the order of `key` whose `room` is enough for
/// `competing` requests, at random, weighted by room.
fn share(
    candidates: &[Candidate],
    key: u64,
    competing: f64,
    room: impl Fn(&Candidate) -> f64,
    seed: u64,
) -> Option<usize> {
    let rooms = candidates.iter().enumerate().map(|(at, it)| (combine(key, it.hash), at, room(it)));
    let mut ranked: SmallVec<[(u64, usize, f64); 32]> =
        rooms.filter(|(_, _, room)| *room > 0.0).collect();
    ranked.sort_unstable_by_key(|(rank, _, _)| Reverse(*rank));
    let mut total = 0.0;
    let mut count = 0;
    while count < ranked.len() && total < competing {
        total += ranked[count].2;
        count += 1;
    }
    let mut rest = uniform(combine(seed, key)) * total;
    let chosen = ranked[..count].iter().find(|(_, _, room)| {
        rest -= room;
        rest <= 0.0
    });
    chosen.map(|(_, at, _)| *at)
}

/// A number from 0 to 1, as random as `hash`.
fn uniform(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}

fn best<S: PartialOrd>(
    candidates: &[Candidate],
    open: impl Fn(&Candidate) -> bool,
    score: impl Fn(&Candidate) -> S,
) -> Option<usize> {
    let all = candidates.iter().enumerate().filter(|(_, it)| open(it));
    let scored = all.map(|(at, it)| (at, score(it)));
    // Scores are always comparable: idleness is never NaN.
    scored.max_by(|a, b| a.1.partial_cmp(&b.1).unwrap_or(Ordering::Equal)).map(|(at, _)| at)
}
