//! How fast a client sends and reads.

use std::time::{Duration, Instant};

/// Time over which the rate of a client is taken.
const WINDOW: Duration = Duration::from_secs(1);

/// What a client has sent and read on its connection.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Requests whose answers are not complete.
    pub requests: u32,
    /// Present while a head or body arrives.
    pub sending_since: Option<Instant>,
    /// The last request ended, or the connection was accepted.
    pub idle_since: Instant,
    /// Part of an answer is not written.
    pub is_unwritten: bool,
    /// Something was last written.
    pub last_write: Instant,
    /// Bytes of a head that is not complete.
    pub head_bytes: usize,
    /// Bytes of streams that are not written.
    pub stream_bytes: usize,
    window_since: Instant,
    window_bytes: usize,
    last_read: Instant,
    /// Rate in the window before.
    last_rate: f64,
}

impl Progress {
    /// The progress on a new connection.
    pub fn new(now: Instant) -> Progress {
        Progress {
            requests: 0,
            sending_since: None,
            idle_since: now,
            is_unwritten: false,
            last_write: now,
            head_bytes: 0,
            stream_bytes: 0,
            window_since: now,
            window_bytes: 0,
            last_read: now,
            last_rate: f64::INFINITY,
        }
    }

    /// A head or a body begins to arrive.
    pub fn begin_sending(&mut self, now: Instant) {
        self.sending_since = Some(now);
        self.window_since = now;
        self.window_bytes = 0;
        self.last_read = now;
        self.last_rate = f64::INFINITY;
    }

    /// Counts bytes that arrived.
    pub fn record_read(&mut self, bytes: usize, now: Instant) {
        if now.saturating_duration_since(self.window_since) >= WINDOW {
            self.last_rate = self.window_rate(now);
            self.window_since = now;
            self.window_bytes = 0;
        }
        self.window_bytes += bytes;
        self.last_read = now;
    }

    /// Bytes that arrive in a second.
    pub fn rate(&self, now: Instant) -> f64 {
        if now.saturating_duration_since(self.last_read) >= WINDOW {
            return 0.0;
        }
        let rate = self.window_rate(now);
        let is_young = now.saturating_duration_since(self.window_since) < WINDOW;
        if is_young { rate.max(self.last_rate) } else { rate }
    }

    fn window_rate(&self, now: Instant) -> f64 {
        let time = now.saturating_duration_since(self.window_since).max(WINDOW);
        self.window_bytes as f64 / time.as_secs_f64()
    }
}
