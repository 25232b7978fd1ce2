//! Hybrid logical time.

use std::fmt;
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// Number of low bits that hold the logical part.
const LOGICAL_BITS: u32 = 12;
/// Times of other processes further ahead of the own wall clock are ignored.
const MAX_AHEAD: Duration = Duration::from_secs(3_600);

key! {
    /// A moment in hybrid logical time: microseconds since 1970, and a count that
    /// orders events within a microsecond.
    ///
    /// Invariant: an event has a smaller time than every event that it can have
    /// influenced.
    #[derive(Default, Serialize, Deserialize)]
    pub struct HybridTime(u64);
}

impl HybridTime {
    /// The moment `wall` with count 0.
    pub fn from_wall(wall: SystemTime) -> HybridTime {
        let since = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
        HybridTime((since.as_micros() as u64) << LOGICAL_BITS)
    }

    /// Microseconds since 1970.
    pub fn micros(self) -> u64 {
        self.0 >> LOGICAL_BITS
    }

    /// Count within the microsecond.
    pub fn count(self) -> u64 {
        self.0 & ((1 << LOGICAL_BITS) - 1)
    }
}

impl fmt::Display for HybridTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for HybridTime {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<HybridTime, Self::Err> {
        u64::from_str_radix(text, 16).map(HybridTime)
    }
}

/// Hybrid logical clock of one process (Kulkarni et al. 2014, "Logical Physical
/// Clocks", with both parts in one word).
#[derive(Debug, Default)]
pub struct HybridClock {
    last: AtomicU64,
}

impl HybridClock {
    /// The time of a new event while the wall clock shows `wall`.
    pub fn tick(&self, wall: SystemTime) -> HybridTime {
        self.advance(HybridTime::from_wall(wall).0, 0)
    }

    /// Advances the clock past a time received from another process, so that later
    /// events here have later times; false when that time is implausibly far ahead of
    /// `wall` and was ignored.
    pub fn observe(&self, other: HybridTime, wall: SystemTime) -> bool {
        if other > HybridTime::from_wall(wall + MAX_AHEAD) {
            return false;
        }
        self.advance(HybridTime::from_wall(wall).0, other.0);
        true
    }

    fn advance(&self, wall: u64, other: u64) -> HybridTime {
        let next = |last: u64| wall.max(last.max(other) + 1);
        let step = |last: u64| Some(next(last));
        let last = self.last.fetch_update(Ordering::AcqRel, Ordering::Acquire, step);
        HybridTime(last.map_or_else(next, next))
    }
}
