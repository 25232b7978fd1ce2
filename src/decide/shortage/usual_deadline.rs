//! The time that callers of a route have when they ask for the first time.

use std::time::{Duration, Instant};

/// After so long without a caller that states it, the usual time is learnt anew.
const RETENTION: Duration = Duration::from_secs(30);

/// The longest time that callers of a route stated lately. Those who come back have less left.
#[derive(Debug, Clone, Default)]
pub struct UsualDeadline {
    longest: Option<Stated>,
}

#[derive(Debug, Clone)]
struct Stated {
    time: Duration,
    at: Instant,
}

impl UsualDeadline {
    /// Records that a caller stated `time`, and returns the usual one.
    pub fn record(&mut self, time: Duration, now: Instant) -> Duration {
        let is_current =
            |it: &Stated| time < it.time && now.saturating_duration_since(it.at) < RETENTION;
        match &self.longest {
            Some(it) if is_current(it) => it.time,
            _ => {
                self.longest = Some(Stated { time, at: now });
                time
            }
        }
    }
}
