//! Logs and counts requests by their outcome.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};
use slog::{Logger, info, warn};

use crate::clock::SharedClock;
use crate::events::Code;
use crate::relay::request_trace::RequestTrace;
use crate::relay::{BodyEnd, Framing, Outcome};
use crate::servers::SoftwareVersion;

/// Limit on the log lines a second for completed requests; lines beyond it are only counted.
const MAX_DONE_LINES: u32 = 100;
/// Limit on the log lines a second for all other requests.
const MAX_FAILED_LINES: u32 = 300;
/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] =
    [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 1.0, 2.0, 4.0, 8.0, 16.0];

/// Log lines of the current second.
#[derive(Debug)]
struct LineCounts {
    began: Instant,
    done: u32,
    failed: u32,
    dropped: u64,
}

/// Writes a log line for each request within the rate limits, and counts all requests.
#[derive(Debug)]
pub struct RequestLog {
    logger: Logger,
    pub(crate) clock: SharedClock,
    lines: Mutex<LineCounts>,
    requests: IntCounterVec,
    attempts: IntCounterVec,
    unreadable: IntCounterVec,
    /// Requests that wait for room.
    pub(crate) waiting: IntGauge,
    waits: IntCounterVec,
    dropped_lines: IntCounter,
    pub(crate) head_time: HistogramVec,
    total_time: HistogramVec,
}

impl RequestLog {
    /// A log whose metrics are registered with `registry`.
    ///
    /// # Errors
    /// Fails when a metric of the same name is registered already.
    pub fn new(
        logger: Logger,
        clock: SharedClock,
        registry: &Registry,
    ) -> Result<RequestLog, prometheus::Error> {
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let it = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(it.clone()))?;
            Ok::<_, prometheus::Error>(it)
        };
        let times = |name: &str, help: &str| {
            let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            let it = HistogramVec::new(opts, &["kind"])?;
            registry.register(Box::new(it.clone()))?;
            Ok::<_, prometheus::Error>(it)
        };
        let help = "Log lines left out because there were too many";
        let dropped_lines = IntCounter::new("filberttiller_log_lines_dropped_total", help)?;
        registry.register(Box::new(dropped_lines.clone()))?;
        let help = "Requests that wait for a backend server with room";
        let waiting = IntGauge::new("filberttiller_relay_waiting", help)?;
        registry.register(Box::new(waiting.clone()))?;
        let help = "Requests by outcome and reason";
        let lines = LineCounts { began: clock.now(), done: 0, failed: 0, dropped: 0 };
        Ok(RequestLog {
            lines: Mutex::new(lines),
            requests: counters("filberttiller_relay_requests_total", help, &["outcome", "reason"])?,
            attempts: counters("filberttiller_relay_tries_total", "Tries by result", &["result"])?,
            unreadable: counters(
                "filberttiller_relay_unreadable_total",
                "Statements of backend servers that cannot be read",
                &["statement"],
            )?,
            waiting,
            waits: counters(
                "filberttiller_relay_waits_total",
                "Requests that found no room at once, by what became of them",
                &["result"],
            )?,
            dropped_lines,
            head_time: times("filberttiller_relay_head_seconds", "Time to the head of the answer")?,
            total_time: times(
                "filberttiller_relay_total_seconds",
                "Time to the end of the answer",
            )?,
            logger,
            clock,
        })
    }

    /// The logger of this router.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Counts an attempt by its result.
    pub fn count_attempt(&self, result: &str) {
        self.attempts.with_label_values(&[result]).inc();
    }

    /// Counts a statement of a backend server that cannot be read.
    pub fn count_unreadable(&self, statement: &str) {
        self.unreadable.with_label_values(&[statement]).inc();
    }

    /// Counts a request that found no room at once, by what became of it.
    pub(crate) fn count_wait(&self, result: &str) {
        self.waits.with_label_values(&[result]).inc();
    }

    /// Counts a request at its end, and logs it within the rate limits.
    pub(crate) fn write(&self, trace: &RequestTrace, outcome: Outcome, reason: &str) {
        self.requests.with_label_values(&[outcome.as_str(), reason]).inc();
        let took = self.clock.now().saturating_duration_since(trace.received());
        if outcome == Outcome::Done {
            self.total_time.with_label_values(&[trace.kind]).observe(took.as_secs_f64());
        }
        if !self.may_write(outcome == Outcome::Done) {
            self.dropped_lines.inc();
            return;
        }
        let code = outcome.code();
        let software = trace.software.iter().map(SoftwareVersion::as_str).collect::<Vec<_>>();
        let software = (!software.is_empty()).then(|| software.join(" "));
        let place = trace.place;
        let tokens_age = place.and_then(|it| it.age);
        let head = trace.head_time.map(|it| it.as_millis() as u64);
        info!(self.logger, "request";
            "event" => code.number(), "outcome" => outcome.as_str(), "reason" => reason,
            "request" => &trace.request, "route" => &trace.route, "service" => &trace.service,
            "organisation" => &trace.organisation, "rules" => trace.rules,
            "rules_age_ms" => trace.rules_age.as_millis() as u64, "tries" => &trace.attempts,
            "verdict" => trace.verdict.as_str(), "status" => trace.status, "head_ms" => head,
            "framing" => trace.framing.map(Framing::as_str),
            "body_end" => trace.body_end.map(BodyEnd::as_str),
            "last_event" => trace.last_event.as_deref(),
            "forwarded" => trace.forwarding.is_some(), "resumed" => trace.resumed, "resumes" => trace.resumes.as_deref(),
            "origin" => trace.origin, "software" => software,
            "blamed_part" => trace.blamed_part.map(|it| format!("{it:x}")),
            "wait" => trace.wait.as_ref().map(ToString::to_string),
            "retry_after_ms" => trace.retry_after.map(|it| it.as_millis() as u64),
            "unread_ahead" => place.map(|it| it.ahead), "unread" => place.map(|it| it.unread),
            "held" => place.map(|it| it.held),
            "tokens_age_ms" => tokens_age.map(|it| it.as_millis() as u64),
            "took_ms" => took.as_millis() as u64);
    }

    /// Counts a line; false when its rate limit is reached.
    fn may_write(&self, is_done: bool) -> bool {
        let now = self.clock.now();
        let mut lines = self.lines.lock().unwrap();
        if now.saturating_duration_since(lines.began) >= Duration::from_secs(1) {
            if lines.dropped > 0 {
                warn!(self.logger, "log lines dropped";
                    "event" => Code::LinesDropped.number(), "count" => lines.dropped);
            }
            *lines = LineCounts { began: now, done: 0, failed: 0, dropped: 0 };
        }
        let (count, max) = match is_done {
            true => (&mut lines.done, MAX_DONE_LINES),
            false => (&mut lines.failed, MAX_FAILED_LINES),
        };
        *count += 1;
        let may = *count <= max;
        lines.dropped += u64::from(!may);
        may
    }
}
