//! What became of each request, for logs and metrics.

use std::fmt::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use prometheus::{HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts, Registry};
use slog::{Logger, info, warn};

use crate::clock::SharedClock;
use crate::decide::Verdict;
use crate::events::Code;

/// Log lines a second of requests that went well; the others are counted.
const MOST_DONE: u32 = 100;
/// Log lines a second of requests that did not.
const MOST_FAILED: u32 = 300;
/// Upper bounds of the latency buckets, in seconds.
const BUCKETS: [f64; 12] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 1.0, 2.0, 4.0, 8.0, 16.0];

key! {
    /// How a request ended.
    pub enum Outcome {
        /// The caller has the whole answer of a backend server.
        Done,
        /// The router answered that it did not run.
        Refused,
        /// The router answered that it may have run.
        Failed,
        /// The answer broke off after its head.
        Cut,
        /// The caller left before the end.
        Left,
    }
}

impl Outcome {
    /// Name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Done => "done",
            Outcome::Refused => "refused",
            Outcome::Failed => "failed",
            Outcome::Cut => "cut",
            Outcome::Left => "caller_left",
        }
    }

    fn code(self) -> Code {
        match self {
            Outcome::Done => Code::RequestDone,
            Outcome::Refused => Code::RequestRefused,
            Outcome::Failed => Code::BackendFailed,
            Outcome::Cut => Code::StreamCut,
            Outcome::Left => Code::CallerLeft,
        }
    }
}

/// Lines written in the present second.
#[derive(Debug)]
struct Second {
    began: Instant,
    done: u32,
    failed: u32,
    dropped: u64,
}

/// Writes one line for each request, as far as the bounds allow, and counts all.
#[derive(Debug)]
pub struct Journal {
    logger: Logger,
    clock: SharedClock,
    second: Mutex<Second>,
    requests: IntCounterVec,
    tries: IntCounterVec,
    dropped: IntCounter,
    head: HistogramVec,
    total: HistogramVec,
}

impl Journal {
    /// A journal whose metrics are registered with `registry`.
    ///
    /// # Errors
    /// Fails when a name is taken.
    pub fn new(
        logger: Logger,
        clock: SharedClock,
        registry: &Registry,
    ) -> Result<Journal, prometheus::Error> {
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let it = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(it.clone()))?;
            Ok::<_, prometheus::Error>(it)
        };
        let times = |name: &str, help: &str| {
            let opts = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
            let it = HistogramVec::new(opts, &["kind"])?;
            registry.register(Box::new(it.clone()))?;
            Ok::<_, prometheus::Error>(it)
        };
        let help = "Log lines left out because there were too many";
        let dropped = IntCounter::new("filberttiller_log_lines_dropped_total", help)?;
        registry.register(Box::new(dropped.clone()))?;
        let help = "Requests by outcome and reason";
        let second = Second { began: clock.now(), done: 0, failed: 0, dropped: 0 };
        Ok(Journal {
            second: Mutex::new(second),
            requests: counters("filberttiller_relay_requests_total", help, &["outcome", "reason"])?,
            tries: counters("filberttiller_relay_tries_total", "Tries by result", &["result"])?,
            dropped,
            head: times("filberttiller_relay_head_seconds", "Time to the head of the answer")?,
            total: times("filberttiller_relay_total_seconds", "Time to the end of the answer")?,
            logger,
            clock,
        })
    }

    /// The logger of this router.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Counts one try.
    pub fn tried(&self, result: &str) {
        self.tries.with_label_values(&[result]).inc();
    }

    fn write(&self, trail: &Trail, outcome: Outcome, reason: &str) {
        self.requests.with_label_values(&[outcome.as_str(), reason]).inc();
        let took = self.clock.now().saturating_duration_since(trail.received);
        if outcome == Outcome::Done {
            self.total.with_label_values(&[trail.kind]).observe(took.as_secs_f64());
        }
        if !self.may_write(outcome == Outcome::Done) {
            self.dropped.inc();
            return;
        }
        let code = outcome.code();
        let head = trail.head.map(|it| it.as_millis() as u64);
        info!(self.logger, "request";
            "event" => code.number(), "outcome" => outcome.as_str(), "reason" => reason,
            "request" => &trail.request, "route" => &trail.route, "service" => &trail.service,
            "organisation" => &trail.organisation, "rules" => trail.rules,
            "rules_age_ms" => trail.rules_age.as_millis() as u64, "tries" => &trail.tries,
            "verdict" => trail.verdict.as_str(), "status" => trail.status, "head_ms" => head,
            "resumed" => trail.resumed, "took_ms" => took.as_millis() as u64);
    }

    fn may_write(&self, done: bool) -> bool {
        let now = self.clock.now();
        let mut second = self.second.lock().unwrap();
        if now.saturating_duration_since(second.began) >= Duration::from_secs(1) {
            if second.dropped > 0 {
                warn!(self.logger, "log lines left out"; "count" => second.dropped);
            }
            *second = Second { began: now, done: 0, failed: 0, dropped: 0 };
        }
        let (count, most) = match done {
            true => (&mut second.done, MOST_DONE),
            false => (&mut second.failed, MOST_FAILED),
        };
        *count += 1;
        let may = *count <= most;
        second.dropped += u64::from(!may);
        may
    }
}

/// Everything that was decided on one request. Dropping it unfinished means
/// that the caller left.
#[derive(Debug)]
pub(crate) struct Trail {
    journal: Arc<Journal>,
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
    /// Times that the stream went on elsewhere.
    pub resumed: u32,
}

impl Trail {
    /// The trail of a request that has just been read.
    pub fn new(journal: &Arc<Journal>) -> Trail {
        Trail {
            received: journal.clock.now(),
            journal: Arc::clone(journal),
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
            resumed: 0,
        }
    }

    /// When the request was read.
    pub fn received(&self) -> Instant {
        self.received
    }

    /// Notes a try.
    pub fn tried(&mut self, server: &str, load: u32, result: &str, began: Instant) {
        self.journal.tried(result);
        let took = self.journal.clock.now().saturating_duration_since(began).as_millis();
        let gap = if self.tries.is_empty() { "" } else { " " };
        let _ = write!(self.tries, "{gap}{server}:load={load}:{result}:{took}ms");
    }

    /// Notes that the head of the answer is there.
    pub fn answered(&mut self, status: u16) {
        let took = self.journal.clock.now().saturating_duration_since(self.received);
        self.status = status;
        self.head = Some(took);
        self.journal.head.with_label_values(&[self.kind]).observe(took.as_secs_f64());
    }

    /// The end.
    pub fn finish(&mut self, outcome: Outcome, reason: &str) {
        if !self.finished {
            self.finished = true;
            self.journal.write(self, outcome, reason);
        }
    }
}

impl Drop for Trail {
    fn drop(&mut self) {
        self.finish(Outcome::Left, "closed");
    }
}
