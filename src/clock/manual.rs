//! A clock that moves only by explicit calls.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::clock::Clock;

/// Clock for tests and replays, set by hand.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// A clock with no time elapsed.
    pub fn new() -> ManualClock {
        ManualClock { start: Instant::now(), elapsed: Mutex::new(Duration::ZERO) }
    }

    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        *self.elapsed.lock().unwrap() += by;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap()
    }
}

impl Default for ManualClock {
    fn default() -> ManualClock {
        ManualClock::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        UNIX_EPOCH + self.elapsed()
    }

    fn boot(&self) -> Duration {
        self.elapsed()
    }
}
