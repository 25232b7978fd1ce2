//! The choice of a backend server for a relayed request.

use std::cmp::{Ordering, Reverse};

use smallvec::SmallVec;

use crate::decide::combine;

/// The pace of a server at which work takes the usual time, in hundredths of that time.
pub const USUAL_PACE: u32 = 100;

key! {
    /// A backend server that may be chosen.
    pub struct Candidate {
        /// Hash of its name, the same on all routers.
        pub hash: u64,
        /// Requests in flight there, as far as known.
        pub load: u32,
        /// Requests that it runs at once.
        pub slots: u32,
        /// How long work takes there, in hundredths of the usual time.
        pub pace: u32,
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
/// Where work takes longer than at the other servers, a request counts for more: such a server has
/// a lower bound, and is less often the least loaded one. A quick server's bound stays that of all,
/// so that no server gets far above the mean.
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
    let OpenLoads { total, mean } = OpenLoads::of(candidates);
    let fair = FairLoads::new(candidates, total, mean);
    let limit = |it: &Candidate| fair.of(it).min(mean) * bound.factor + bound.extra;
    let room = |it: &Candidate| if open(it) { limit(it) - f64::from(it.load) } else { 0.0 };
    let home = key.and_then(|key| {
        let first = best(candidates, |it| room(it) > 0.0, |it| combine(key, it.hash))?;
        if room(&candidates[first]) >= competing {
            return Some(first);
        }
        Some(share(candidates, key, competing, room, seed).unwrap_or(first))
    });
    let idleness = |it: &Candidate| {
        let tie_break = combine(seed, it.hash);
        // Many routers see the same loads: without a random share of a request in them, all would
        // choose the same quick server.
        let work = match fair.are_equal() {
            true => f64::from(it.load),
            false => (f64::from(it.load) + uniform(tie_break)) / speed(it),
        };
        (-work / f64::from(it.slots.max(1)), tie_break)
    };
    let is_within = |it: &Candidate| open(it) && (fair.are_equal() || room(it) > 0.0);
    home.or_else(|| best(candidates, is_within, idleness))
        .or_else(|| best(candidates, open, idleness))
}

/// The loads at which all servers need the same time for what they have.
struct FairLoads {
    mean: f64,
    /// Load at the usual pace; absent where all have the same pace.
    at_usual: Option<f64>,
}

impl FairLoads {
    fn new(candidates: &[Candidate], total: u32, mean: f64) -> FairLoads {
        let mut open = candidates.iter().filter(|it| !it.closed);
        let first = open.next().map_or(USUAL_PACE, |it| it.pace);
        if open.all(|it| it.pace == first) {
            return FairLoads { mean, at_usual: None };
        }
        let open = candidates.iter().filter(|it| !it.closed);
        let speed: f64 = open.map(speed).sum();
        FairLoads { mean, at_usual: Some(f64::from(total) / speed) }
    }

    fn are_equal(&self) -> bool {
        self.at_usual.is_none()
    }

    fn of(&self, it: &Candidate) -> f64 {
        self.at_usual.map_or(self.mean, |load| load * speed(it))
    }
}

/// Work that a server does, as a multiple of the usual.
fn speed(it: &Candidate) -> f64 {
    f64::from(USUAL_PACE) / f64::from(it.pace.max(1))
}

/// The loads of the candidates that are not closed.
struct OpenLoads {
    total: u32,
    mean: f64,
}

impl OpenLoads {
    fn of(candidates: &[Candidate]) -> OpenLoads {
        let open = candidates.iter().filter(|it| !it.closed);
        let (total, count) = open.fold((0, 0), |(total, count), it| (total + it.load, count + 1));
        OpenLoads { total, mean: f64::from(total) / f64::from(count.max(1)) }
    }
}

/// The load up to which a candidate is within `bound`.
pub(crate) fn load_limit(candidates: &[Candidate], bound: &LoadBound) -> f64 {
    OpenLoads::of(candidates).mean * bound.factor + bound.extra
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
    // Scores are always comparable: none is NaN.
    scored.max_by(|a, b| a.1.partial_cmp(&b.1).unwrap_or(Ordering::Equal)).map(|(at, _)| at)
}
