//! Everything that is decided on one request.

use std::fmt::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::decide::Verdict;
use crate::relay::{Outcome, RequestLog};

/// Everything that was decided on one request. Dropping it unfinished means
/// that the caller left.
#[derive(Debug)]
pub(crate) struct RequestTrace {
    request_log: Arc<RequestLog>,
    received: Instant,
    finished: bool,
    /// Identity of the request.
    pub request: String,
    /// Name of the route.
    pub route: String,
    /// Kind of the route.
    pub kind: &'static str,
    /// Service that it was sent to.
    pub service: String,
    /// Organisation of the caller.
    pub organisation: String,
    /// Version of the rules that decided.
    pub rules: u64,
    /// How long ago the rules were confirmed.
    pub rules_age: Duration,
    /// Each try: server, its load as known, result and time.
    pub tries: String,
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Status of the answer.
    pub status: u16,
    /// Time to the head of the answer.
    pub head: Option<Duration>,
    /// When the caller should come back, where no server had room.
    pub retry_after: Option<Duration>,
    /// Times that the stream went on elsewhere.
    pub resumed: u32,
}

impl RequestTrace {
    /// The trail of a request that has just been read.
    pub fn new(request_log: &Arc<RequestLog>) -> RequestTrace {
        RequestTrace {
            received: request_log.clock.now(),
            request_log: Arc::clone(request_log),
            finished: false,
            request: String::new(),
            route: String::new(),
            kind: "unknown",
            service: String::new(),
            organisation: String::new(),
            rules: 0,
            rules_age: Duration::ZERO,
            tries: String::new(),
            verdict: Verdict::NotRun,
            status: 0,
            head: None,
            retry_after: None,
            resumed: 0,
        }
    }

    /// When the request was read.
    pub fn received(&self) -> Instant {
        self.received
    }

    /// Notes a try.
    pub fn tried(&mut self, server: &str, load: u32, result: &str, began: Instant) {
        self.request_log.tried(result);
        let took = self.request_log.clock.now().saturating_duration_since(began).as_millis();
        let gap = if self.tries.is_empty() { "" } else { " " };
        let _ = write!(self.tries, "{gap}{server}:load={load}:{result}:{took}ms");
    }

    /// Notes that the head of the answer is there.
    pub fn answered(&mut self, status: u16) {
        let took = self.request_log.clock.now().saturating_duration_since(self.received);
        self.status = status;
        self.head = Some(took);
        self.request_log.head.with_label_values(&[self.kind]).observe(took.as_secs_f64());
    }

    /// The end.
    pub fn finish(&mut self, outcome: Outcome, reason: &str) {
        if !self.finished {
            self.finished = true;
            self.request_log.write(self, outcome, reason);
        }
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        self.finish(Outcome::Left, "closed");
    }
}
