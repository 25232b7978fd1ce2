//! Ages, in which processes with different clocks tell each other times.

use std::time::{Duration, Instant};

/// Milliseconds from `at` to `now`.
pub(crate) fn age_ms(at: Instant, now: Instant) -> u64 {
    now.saturating_duration_since(at).as_millis() as u64
}

/// The time `age_ms` milliseconds before `now`; `None` if this process cannot tell it.
pub(crate) fn time_of_age(age_ms: u64, now: Instant) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(age_ms))
}
