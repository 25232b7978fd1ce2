//! What became of each request, for logs and metrics.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use prometheus::{HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts, Registry};
use slog::{Logger, info, warn};

use crate::clock::SharedClock;
use crate::events::Code;
use crate::relay::Outcome;
use crate::relay::request_trace::RequestTrace;

/// Log lines a second of requests that went well; the others are counted.
const MOST_DONE: u32 = 100;
/// Log lines a second of requests that did not.
const MOST_FAILED: u32 = 300;
/// Upper bounds of the latency buckets, in seconds.
const BUCKETS: [f64; 12] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 1.0, 2.0, 4.0, 8.0, 16.0];

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
pub struct RequestLog {
    logger: Logger,
    pub(crate) clock: SharedClock,
    second: Mutex<Second>,
    requests: IntCounterVec,
    tries: IntCounterVec,
    dropped: IntCounter,
    pub(crate) head: HistogramVec,
    total: HistogramVec,
}

impl RequestLog {
    /// A journal whose metrics are registered with `registry`.
    ///
    /// # Errors
    /// Fails when a name is taken.
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
        Ok(RequestLog {
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

    /// Writes the line of a request at its end.
    pub(crate) fn write(&self, trail: &RequestTrace, outcome: Outcome, reason: &str) {
        self.requests.with_label_values(&[outcome.as_str(), reason]).inc();
        let took = self.clock.now().saturating_duration_since(trail.received());
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
            "resumed" => trail.resumed,
            "retry_after_ms" => trail.retry_after.map(|it| it.as_millis() as u64), "took_ms" => took.as_millis() as u64);
    }

    fn may_write(&self, done: bool) -> bool {
        let now = self.clock.now();
        let mut second = self.second.lock().unwrap();
        if now.saturating_duration_since(second.began) >= Duration::from_secs(1) {
            if second.dropped > 0 {
                warn!(self.logger, "log lines left out";
                    "event" => Code::LinesDropped.number(), "count" => second.dropped);
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
