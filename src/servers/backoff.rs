//! Times for which a backend server wants no requests.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::events::LogOnce;

/// Limit on the time that counts.
const MAX_TIME: Duration = Duration::from_secs(300);

/// Until when an incarnation of a server wants no requests from this router. It is shared by all
/// values that stand for the incarnation, as its record may change.
#[derive(Debug, Default)]
pub struct Backoff {
    until: Mutex<Option<Instant>>,
    /// For the line that a time cannot be read.
    pub(crate) unreadable: LogOnce,
}

impl Backoff {
    /// Notes that the server wants no requests for `time`, or for `MAX_TIME` if that is less.
    /// Never shortens a former time. Returns the time that counts, if it is in force only now.
    pub fn begin(&self, time: Duration, now: Instant) -> Option<Duration> {
        let time = time.min(MAX_TIME);
        let mut until = self.until.lock().unwrap();
        let is_new = until.is_none_or(|it| it <= now) && !time.is_zero();
        *until = Some(until.map_or(now + time, |it| it.max(now + time)));
        is_new.then_some(time)
    }

    /// Whether the server wants no requests now.
    pub fn holds(&self, now: Instant) -> bool {
        self.until.lock().unwrap().is_some_and(|it| now < it)
    }
}
