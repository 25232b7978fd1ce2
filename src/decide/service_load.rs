//! How well a service keeps up with its requests.

use std::time::Duration;

use crate::decide::max_in_flight;

/// Weight of one more request in the mean time that requests hold a slot.
const HOLD_WEIGHT: f64 = 1.0 / 32.0;
/// Weight of one more choice in the share of requests that found no room.
const REFUSED_WEIGHT: f64 = 1.0 / 64.0;
/// What an answer that begins late leaves of the share of room in use.
const LATE_FACTOR: f64 = 0.98;
/// What an answer that begins in time adds to that share. With the factor above the
/// share stays whole while fewer than one in eleven answers are late.
const TIMELY_STEP: f64 = 0.002;
/// Least share of room in use: most slots stay in use whatever makes answers late.
const LEAST_SHARE: f64 = 0.6;
/// Part of a caller's time left after which it is told to come back at the latest:
/// callers heed no more than a third.
const MOST_BACK: f64 = 0.3;
/// Shortest time after which a caller is told to come back.
const LEAST_BACK: Duration = Duration::from_millis(100);

/// What a router has seen of one service lately. It decides how many requests a
/// server of it may hold, and when callers that found no room come back.
///
/// The share of room follows additive increase and multiplicative decrease (Chiu and
/// Jain, 1989): slots may be free while prompts that are being read delay all answers.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceLoad {
    /// Mean time for which requests hold a slot, in seconds, of those that did not wait.
    hold: f64,
    /// Requests that `hold` is of.
    held: u32,
    /// Share of the room that is in use. Invariant: between `LEAST_SHARE` and 1.
    share: f64,
    /// Share of requests that found no room.
    refused: f64,
}

impl Default for ServiceLoad {
    fn default() -> ServiceLoad {
        ServiceLoad { hold: 0.0, held: 0, share: 1.0, refused: 0.0 }
    }
}

impl ServiceLoad {
    /// A request that did not have to wait held its slot for `time`.
    pub fn record_service_time(&mut self, time: Duration) {
        self.held = self.held.saturating_add(1);
        let weight = HOLD_WEIGHT.max(1.0 / f64::from(self.held));
        self.hold += (time.as_secs_f64() - self.hold) * weight;
    }

    /// An answer began, `late` or within the objective of its request, at a server that
    /// held `load` requests for `slots`. At a server with less than half of its slots
    /// taken it is not load that makes answers late.
    pub fn record_response(&mut self, late: bool, load: u32, slots: u32) {
        let loaded = load >= slots.div_ceil(2);
        let share =
            if late && loaded { self.share * LATE_FACTOR } else { self.share + TIMELY_STEP };
        self.share = share.clamp(LEAST_SHARE, 1.0);
    }

    /// A server was looked for, and found or not.
    pub fn record_selection(&mut self, found: bool) {
        let refused = if found { 0.0 } else { 1.0 };
        self.refused += (refused - self.refused) * REFUSED_WEIGHT;
    }

    /// Requests that a server with `slots` may hold, for answers within `objective`.
    pub fn max_in_flight(&self, slots: u32, objective: Duration) -> u32 {
        let hold = (self.held > 0).then(|| Duration::from_secs_f64(self.hold));
        let most = f64::from(max_in_flight(slots, objective, hold));
        (most * self.share).ceil() as u32
    }

    /// When a caller that found no room and has the time `left` should come back: the
    /// later, the more found none. `point`, from 0 to 1, spreads callers.
    pub fn retry_after(&self, left: Duration, point: f64) -> Duration {
        let most = left.mul_f64(MOST_BACK * self.refused.min(1.0));
        let spread = most.mul_f64(0.5 + 0.5 * point.clamp(0.0, 1.0));
        spread.max(LEAST_BACK)
    }
}
