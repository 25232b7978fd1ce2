//! The share of the room that requests of each rank may use, so that more urgent ones find room.

use std::time::Instant;

use smallvec::SmallVec;

use crate::decide::shortage::RankDemand;

/// Share of the more urgent requests that may be refused before less urgent ones yield.
const MAX_REFUSED: f64 = 0.03;
/// Fall of the share in a second if all more urgent requests are refused.
const FALL_PER_S: f64 = 1.5;
/// Rise of the share in a second once more urgent requests find room.
const RISE_PER_S: f64 = 0.1;
/// Minimum share of the room, so that servers stay in use.
const MIN_ROOM: f64 = 0.5;
/// A rank goes with the most urgent ones while it is served less often than this share of the
/// mean.
const MIN_SERVED: f64 = 0.5;
/// Longest step of the shares, in seconds: time without requests shows nothing.
const MAX_STEP_S: f64 = 0.5;

/// The share of one rank. Invariant: `share` is between `MIN_ROOM` and 1.
#[derive(Debug, Clone, PartialEq)]
struct RankShare {
    rank: u8,
    share: f64,
    /// It is hardly served, and yields to no other rank.
    is_starved: bool,
}

/// Room reserved by rank: less urgent requests may fill servers only up to a share, which falls
/// while more urgent ones are refused and rises again when they are not. A rank that is hardly
/// served goes with the most urgent one until it has got its part.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RankRoom {
    shares: SmallVec<[RankShare; 4]>,
    updated: Option<Instant>,
}

impl RankRoom {
    /// The share of the room that requests that wait with `rank` may use; 1 while nothing is
    /// short.
    pub fn share(&self, rank: u8) -> f64 {
        self.shares.iter().find(|it| it.rank == rank).map_or(1.0, |it| it.share)
    }

    /// The rank with which requests of `rank` wait.
    pub fn waiting_rank(&self, rank: u8) -> u8 {
        let is_starved = self.shares.iter().any(|it| it.rank == rank && it.is_starved);
        if is_starved { 0 } else { rank }
    }

    /// Whether any rank has less than all room.
    pub fn is_reduced(&self) -> bool {
        self.shares.iter().any(|it| it.share < 1.0)
    }

    /// Adapts the shares to the `demand` of all routers, which may have several rows of a rank.
    pub fn update<'a>(&mut self, demand: impl Iterator<Item = &'a RankDemand>, now: Instant) {
        let passed = self.updated.replace(now).map(|it| now.saturating_duration_since(it));
        let step = passed.map_or(0.0, |it| it.as_secs_f64().min(MAX_STEP_S));
        let ranks = sum(demand);
        let all = ranks.iter().fold(Served::default(), |sum, it| sum.and(it));
        let mut more_urgent = Served::default();
        for it in &ranks {
            let refused = 1.0 - more_urgent.share();
            let is_starved = Served::default().and(it).share() < MIN_SERVED * all.share();
            let change = match refused > MAX_REFUSED {
                true => -refused * FALL_PER_S,
                false => RISE_PER_S,
            };
            self.change(it.rank, change * step, is_starved);
            more_urgent = more_urgent.and(it);
        }
    }

    fn change(&mut self, rank: u8, change: f64, is_starved: bool) {
        match self.shares.iter_mut().find(|it| it.rank == rank) {
            Some(it) => {
                it.share = (it.share + change).clamp(MIN_ROOM, 1.0);
                it.is_starved = is_starved;
            }
            None if change < 0.0 || is_starved => {
                let share = (1.0 + change).clamp(MIN_ROOM, 1.0);
                self.shares.push(RankShare { rank, share, is_starved });
            }
            None => {}
        }
    }
}

/// Requests that asked for room, and those that got it.
#[derive(Default)]
struct Served {
    offered: f64,
    served: f64,
}

impl Served {
    fn and(&self, rank: &RankDemand) -> Served {
        Served { offered: self.offered + rank.offered, served: self.served + rank.served() }
    }

    fn share(&self) -> f64 {
        if self.offered > 0.0 { self.served / self.offered } else { 1.0 }
    }
}

/// One row for each rank, in their order.
fn sum<'a>(rows: impl Iterator<Item = &'a RankDemand>) -> SmallVec<[RankDemand; 10]> {
    let mut ranks: SmallVec<[RankDemand; 10]> = SmallVec::new();
    for row in rows {
        match ranks.iter_mut().find(|it| it.rank == row.rank) {
            Some(it) => {
                it.offered += row.offered;
                it.refused += row.refused;
            }
            None => ranks.push(*row),
        }
    }
    ranks.sort_unstable_by_key(|it| it.rank);
    ranks
}
