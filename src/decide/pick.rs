//! The choice of a backend server for a relayed request.

use std::cmp::Ordering;

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
            let idleness = -f64::from(it.load) / f64::from(it.slots.max(1));
            (idleness, combine(seed, it.hash))
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
    // Scores are always comparable: idleness is never NaN.
    scored.max_by(|a, b| a.1.partial_cmp(&b.1).unwrap_or(Ordering::Equal)).map(|(at, _)| at)
}
