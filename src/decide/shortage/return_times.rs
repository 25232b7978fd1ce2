//! When refused callers should come back.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::decide::shortage::lane::MIN_RETURN_TIME;

/// Maximum time until the return as a share of the caller's remaining time: callers honour a
/// delay of at most a third of it.
const MAX_DELAY_SHARE: f64 = 0.3;
/// Share of the room that is set aside for callers who come back.
const RETURN_SHARE: f64 = 0.5;

/// Until when the room for callers of one rank is promised to others who come back.
#[derive(Debug, Clone, PartialEq)]
struct Booked {
    rank: u8,
    until: Instant,
}

/// The times at which this router told callers of one service to come back. Each gets a time of
/// its own, as far apart as room becomes free, after those of its own rank and of more urgent
/// ones.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ReturnTimes {
    booked: SmallVec<[Booked; 4]>,
}

impl ReturnTimes {
    /// The time after which a caller of `rank`, which waits for `remaining` in all, should come
    /// back. `rate` is the room in requests a second that this router can expect. `jitter`, from
    /// 0 to 1, spreads those for whom no room can be promised.
    pub fn book(
        &mut self,
        rank: u8,
        remaining: Duration,
        rate: f64,
        jitter: f64,
        now: Instant,
    ) -> Duration {
        let max = remaining.mul_f64(MAX_DELAY_SHARE).max(MIN_RETURN_TIME);
        self.booked.retain(|it| it.until > now);
        let jitter = jitter.clamp(0.0, 1.0);
        let gap = Duration::try_from_secs_f64(1.0 / (rate * RETURN_SHARE)).unwrap_or(max).min(max);
        let ahead = self.booked.iter().filter(|it| it.rank <= rank).map(|it| it.until).max();
        let first = now + MIN_RETURN_TIME;
        let begin = ahead.map_or(first, |it| it.max(first));
        let until = begin + gap;
        if until > now + max {
            return max.mul_f64(0.5 + 0.5 * jitter).max(MIN_RETURN_TIME);
        }
        self.set_until(rank, until);
        (begin + gap.mul_f64(jitter)).saturating_duration_since(now)
    }

    fn set_until(&mut self, rank: u8, until: Instant) {
        match self.booked.iter_mut().find(|it| it.rank == rank) {
            Some(it) => it.until = it.until.max(until),
            None => self.booked.push(Booked { rank, until }),
        }
    }
}
