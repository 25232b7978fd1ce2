//! The limit on requests in flight at a backend server.

use std::time::Duration;

/// Share of the latency objective that a request may wait at a server. The rest is for
/// reading the prompt, for network latency, and for loads that become known late.
const WAIT_SHARE: f64 = 0.5;
/// Requests that may wait for each slot while the service time is unknown.
const DEFAULT_QUEUE: f64 = 0.5;
/// Minimum number of requests that may wait for each slot, so that no slot falls idle.
const MIN_QUEUE: f64 = 0.1;
/// Maximum number of requests that may wait for each slot.
const MAX_QUEUE: f64 = 3.0;

/// Share of the slots of a brittle server that are used. The rest is for requests of other
/// routers that are not known yet.
const BRITTLE_SHARE: f64 = 0.75;

/// Returns how many requests of all routers, and of one of `routers`, may be in flight at a
/// brittle server with `slots`: it falls over if it has to turn too many away.
pub fn max_at_brittle(slots: u32, routers: usize) -> (u32, u32) {
    let all = ((f64::from(slots) * BRITTLE_SHARE) as u32).max(1);
    let routers = u32::try_from(routers.max(1)).unwrap_or(u32::MAX);
    (all, all.div_ceil(routers))
}

/// Returns how many requests may be in flight at a server with `slots` so that the last of
/// them begins within half of `objective`. Each occupies a slot for `service_time`, so that
/// a slot becomes free every `service_time / slots` (Little, 1961).
pub fn max_in_flight(slots: u32, objective: Duration, service_time: Option<Duration>) -> u32 {
    let wait = objective.as_secs_f64() * WAIT_SHARE;
    let queue = match service_time {
        Some(time) if !time.is_zero() => wait / time.as_secs_f64(),
        _ => DEFAULT_QUEUE,
    };
    let max = f64::from(slots) * (1.0 + queue.clamp(MIN_QUEUE, MAX_QUEUE));
    max.ceil() as u32
}
