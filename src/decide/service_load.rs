//! How well a service keeps up with its requests, as one router sees it.

use std::time::Duration;

use crate::decide::max_in_flight;

/// Weight of the newest request in the mean service time.
const SERVICE_TIME_WEIGHT: f64 = 1.0 / 32.0;
/// Factor by which a response that begins late reduces the share of the capacity in use.
const LATE_FACTOR: f64 = 0.98;
/// Amount by which a response that begins in time raises that share. With the factor above,
/// the share stays at 1 while fewer than one in eleven responses are late.
const ON_TIME_STEP: f64 = 0.002;
/// Minimum share of the capacity in use: most slots stay in use, whatever the reason for
/// late responses.
const MIN_SHARE: f64 = 0.6;

/// What a router has observed of one service recently. It decides how many requests may
/// be in flight at a server of the service.
///
/// The share of the capacity in use follows additive increase and multiplicative decrease
/// (Chiu and Jain, 1989), because free slots alone do not show that a server keeps up: slots
/// may be free while prompts that are being read delay all responses.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceLoad {
    /// Mean service time of requests that did not wait, at the usual pace, in seconds.
    service_time: f64,
    /// Number of requests that `service_time` covers.
    samples: u32,
    /// Share of the capacity in use. Invariant: between `MIN_SHARE` and 1.
    share: f64,
}

impl Default for ServiceLoad {
    fn default() -> ServiceLoad {
        ServiceLoad { service_time: 0.0, samples: 0, share: 1.0 }
    }
}

impl ServiceLoad {
    /// Records that a request that did not have to wait occupied its slot for `time`, as it would
    /// have at the usual pace.
    pub fn record_service_time(&mut self, time: Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = SERVICE_TIME_WEIGHT.max(1.0 / f64::from(self.samples));
        self.service_time += (time.as_secs_f64() - self.service_time) * weight;
    }

    /// Records that a response began, `late` or within the objective of its request, at a
    /// server with `load` requests in flight and `slots`. If less than half of the slots
    /// are occupied, a late response is not due to load.
    pub fn record_response(&mut self, late: bool, load: u32, slots: u32) {
        let loaded = load >= slots.div_ceil(2);
        let share =
            if late && loaded { self.share * LATE_FACTOR } else { self.share + ON_TIME_STEP };
        self.share = share.clamp(MIN_SHARE, 1.0);
    }

    /// Mean service time of requests that did not wait; absent before the first one.
    pub fn service_time(&self) -> Option<Duration> {
        (self.samples > 0).then(|| Duration::from_secs_f64(self.service_time))
    }

    /// Returns how many requests may be in flight at a server with `slots` so that responses
    /// begin within `objective`.
    pub fn max_in_flight(&self, slots: u32, objective: Duration) -> u32 {
        self.max_in_flight_at(slots, objective, 1.0)
    }

    /// The same for a server at which work takes `pace` times the usual time.
    pub fn max_in_flight_at(&self, slots: u32, objective: Duration, pace: f64) -> u32 {
        let time = (self.samples > 0).then(|| Duration::from_secs_f64(self.service_time * pace));
        let max = f64::from(max_in_flight(slots, objective, time));
        (max * self.share).ceil() as u32
    }
}
