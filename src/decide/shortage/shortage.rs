//! What a router knows of the shortage of one service.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::decide::shortage::{
    Demand, Lane, PeerDemand, RankDemand, RankRoom, ReturnTimes, Standing,
};

/// Pause between two adaptions of the shares.
const STEP: Duration = Duration::from_millis(50);

plain! {
    /// What a decision on a request saw, for its log line.
    #[derive(Copy)]
    pub struct ShortageView {
        /// Share of the room that it may use.
        pub share: f64,
        /// Share of the requests that found room lately that were not more urgent.
        pub left: f64,
        /// Requests of the last seconds, at all routers known.
        pub offered: f64,
        /// Those of them that were refused.
        pub refused: f64,
        /// Age of the oldest demand of other routers that counted.
        pub peers_age: Option<Duration>,
    }
}

/// The demand for one service at this router and others, and what follows from it.
#[derive(Debug, Clone)]
pub struct Shortage {
    own: Demand,
    peers: PeerDemand,
    room: RankRoom,
    returns: ReturnTimes,
    updated: Instant,
}

impl Shortage {
    /// No shortage.
    pub fn new(now: Instant) -> Shortage {
        Shortage {
            own: Demand::new(now),
            peers: PeerDemand::default(),
            room: RankRoom::default(),
            returns: ReturnTimes::default(),
            updated: now,
        }
    }

    /// Counts a request of `rank` that got room, or `refused`.
    pub fn record(&mut self, rank: u8, refused: bool, now: Instant) {
        self.own.record(rank, refused, now);
    }

    /// Records the demand that `router` told at `at`.
    pub fn record_peer(&mut self, router: u64, ranks: SmallVec<[RankDemand; 4]>, at: Instant) {
        self.peers.record(router, ranks, at);
    }

    /// The demand to tell other routers; `None` while requests find room here.
    pub fn news(&mut self, now: Instant) -> Option<SmallVec<[RankDemand; 4]>> {
        let is_short = self.own.is_short(now);
        is_short.then(|| self.own.ranks(now).into())
    }

    /// The share of the room that requests in `lane` may use.
    pub fn share(&mut self, lane: Lane, now: Instant) -> f64 {
        self.update(now);
        lane.standing.share(self.room.share(lane.rank))
    }

    /// The place of a request of `rank` among others.
    pub fn lane(&mut self, rank: u8, standing: Standing, now: Instant) -> Lane {
        self.update(now);
        Lane::new(self.room.waiting_rank(rank), standing)
    }

    /// What is known for a request in `lane`.
    pub fn view(&mut self, lane: Lane, now: Instant) -> ShortageView {
        let share = self.share(lane, now);
        let peers_age = self.peers.age(now);
        let demand = self.own.ranks(now).iter().chain(self.peers.rows());
        let mut view = ShortageView { share, left: 1.0, offered: 0.0, refused: 0.0, peers_age };
        let mut urgent = 0.0;
        for it in demand {
            view.offered += it.offered;
            view.refused += it.refused;
            urgent += if it.rank < lane.rank { it.served() } else { 0.0 };
        }
        let served = view.offered - view.refused;
        if served > 0.0 {
            view.left = 1.0 - urgent / served;
        }
        view
    }

    /// The time after which a refused caller of `rank` should come back; see [`ReturnTimes::book`].
    pub fn return_time(
        &mut self,
        rank: u8,
        remaining: Duration,
        rate: f64,
        jitter: f64,
        now: Instant,
    ) -> Duration {
        self.returns.book(rank, remaining, rate, jitter, now)
    }

    /// Adapts the shares of the ranks to the demand.
    fn update(&mut self, now: Instant) {
        if now.saturating_duration_since(self.updated) < STEP {
            return;
        }
        self.updated = now;
        self.peers.remove_expired(now);
        let is_calm = self.peers.is_empty() && !self.room.is_reduced();
        if !is_calm || self.own.is_short(now) {
            let demand = self.own.ranks(now).iter().chain(self.peers.rows());
            self.room.update(demand, now);
        }
    }
}
