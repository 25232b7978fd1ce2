//! How much is asked for of a service, by rank.

use std::time::Instant;

use smallvec::SmallVec;

/// Time in which a count falls to half, in seconds.
const HALF_LIFE_S: f64 = 2.0;
/// Count of refused requests below which a rank counts as served.
const MIN_REFUSED: f64 = 0.05;
/// Limit on the ranks of one service; requests of further ranks count with the nearest one.
const MAX_RANKS: usize = 10;

plain! {
    /// Requests of one rank in the last seconds, older ones weighted less. Invariant: both are
    /// finite, and `0 <= refused <= offered`.
    #[derive(Copy)]
    pub struct RankDemand {
        /// Rank, 0 is the most urgent.
        pub rank: u8,
        /// Requests that asked for room.
        pub offered: f64,
        /// Those of them that got none.
        pub refused: f64,
    }

    /// Requests for one service in the last seconds, by rank.
    pub struct Demand {
        /// In the order of the ranks.
        ranks: SmallVec<[RankDemand; 4]>,
        /// Time to which the counts are decayed.
        at: Instant,
    }
}

impl RankDemand {
    /// The demand that another router tells; `None` if it makes no sense.
    pub fn checked(rank: u8, offered: f64, refused: f64) -> Option<RankDemand> {
        let is_sound = offered.is_finite() && refused >= 0.0 && refused <= offered;
        is_sound.then_some(RankDemand { rank, offered, refused })
    }

    /// Requests that got room.
    pub fn served(&self) -> f64 {
        self.offered - self.refused
    }
}

impl Demand {
    /// No demand.
    pub fn new(now: Instant) -> Demand {
        Demand { ranks: SmallVec::new(), at: now }
    }

    /// Counts a request of `rank` that got room, or `refused`.
    pub fn record(&mut self, rank: u8, refused: bool, now: Instant) {
        self.decay(now);
        let at = self.ranks.partition_point(|it| it.rank < rank);
        let is_known = self.ranks.get(at).is_some_and(|it| it.rank == rank);
        let at = if is_known || self.ranks.len() >= MAX_RANKS {
            at.min(self.ranks.len() - 1)
        } else {
            self.ranks.insert(at, RankDemand { rank, offered: 0.0, refused: 0.0 });
            at
        };
        let it = &mut self.ranks[at];
        it.offered += 1.0;
        it.refused += f64::from(u8::from(refused));
    }

    /// The demand of all ranks at `now`.
    pub fn ranks(&mut self, now: Instant) -> &[RankDemand] {
        self.decay(now);
        &self.ranks
    }

    /// Whether requests were refused lately.
    pub fn is_short(&mut self, now: Instant) -> bool {
        self.ranks(now).iter().any(|it| it.refused >= MIN_REFUSED)
    }

    fn decay(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        if passed > 0.0 {
            let factor = 0.5f64.powf(passed / HALF_LIFE_S);
            for it in &mut self.ranks {
                it.offered *= factor;
                it.refused *= factor;
            }
            self.at = now;
        }
    }
}
