//! A clock that moves only when told.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::clock::Clock;

/// Manual time for tests and replays.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    passed: Mutex<Duration>,
}

impl ManualClock {
    /// A clock that stands still at its start.
    pub fn new() -> ManualClock {
        ManualClock { start: Instant::now(), passed: Mutex::new(Duration::ZERO) }
    }

    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        *self.passed.lock().unwrap() += by;
    }

    fn passed(&self) -> Duration {
        *self.passed.lock().unwrap()
    }
}

impl Default for ManualClock {
    fn default() -> ManualClock {
        ManualClock::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.passed()
    }

    fn wall(&self) -> SystemTime {
        UNIX_EPOCH + self.passed()
    }

    fn boot(&self) -> Duration {
        self.passed()
    }
}
