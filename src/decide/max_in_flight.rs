//! How many requests a backend server may hold at a time.

use std::time::Duration;

/// Part of an objective that a request may wait at a server. The rest is for reading
/// the prompt, for the way, and for loads that are known late.
const WAIT_PART: f64 = 0.5;
/// Requests that may wait for each slot while nothing tells how long requests take.
const DEFAULT_QUEUE: f64 = 0.5;
/// Fewest requests that may wait for each slot, so that no slot falls idle.
const LEAST_QUEUE: f64 = 0.1;
/// Most requests that may wait for each slot.
const MOST_QUEUE: f64 = 3.0;

/// Requests that a server with `slots` may hold so that the last of them begins within
/// half of `objective`, where each holds a slot for the time `hold`: a place comes free
/// every `hold / slots` (Little, 1961).
pub fn max_in_flight(slots: u32, objective: Duration, hold: Option<Duration>) -> u32 {
    let wait = objective.as_secs_f64() * WAIT_PART;
    let queue = match hold {
        Some(hold) if !hold.is_zero() => wait / hold.as_secs_f64(),
        _ => DEFAULT_QUEUE,
    };
    let most = f64::from(slots) * (1.0 + queue.clamp(LEAST_QUEUE, MOST_QUEUE));
    most.ceil() as u32
}
