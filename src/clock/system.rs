//! The clock of the operating system.

use std::time::{Duration, Instant, SystemTime};

use nix::time::{ClockId, clock_gettime};

use crate::clock::Clock;

/// Real time; `now` follows the runtime's virtual time while a test has paused it.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }

    fn boot(&self) -> Duration {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
        time.map(Duration::from).expect("CLOCK_BOOTTIME is available on Linux")
    }
}
