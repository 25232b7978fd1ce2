//! Records the decisions on one request, for its log line.

use std::fmt::{self, Display, Formatter, Write};
use std::sync::Arc;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::decide::{PaceReading, TokenPlace, Verdict};
use crate::relay::forward::Forwarding;
use crate::relay::wait_trace::WaitTrace;
use crate::relay::{BodyEnd, Framing, Outcome, RequestLog};
use crate::servers::SoftwareVersion;

/// What was known of a server when it was selected.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct KnownLoad {
    /// Requests there.
    pub load: u32,
    /// How long work takes there, where it is known.
    pub pace: Option<PaceReading>,
}

impl Display for KnownLoad {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "load={}", self.load)?;
        match self.pace {
            Some(PaceReading { factor, age }) => {
                write!(f, ":pace={factor:.2}/{}ms", age.as_millis())
            }
            None => Ok(()),
        }
    }
}

/// The decisions on one request. Dropping it unfinished means that the caller
/// disconnected.
#[derive(Debug)]
pub(crate) struct RequestTrace {
    request_log: Arc<RequestLog>,
    received: Instant,
    finished: bool,
    /// Id of the request.
    pub request: String,
    /// Present if another router sent it on.
    pub forwarding: Option<Forwarding>,
    /// Name of the route.
    pub route: String,
    /// Kind of the route.
    pub kind: &'static str,
    /// Name of the service that it was sent to.
    pub service: String,
    /// Name of the caller's organisation.
    pub organisation: String,
    /// Version of the rules that were applied.
    pub rules: u64,
    /// How long ago these rules were confirmed.
    pub rules_age: Duration,
    /// Each attempt: server, its known load, result and duration.
    pub attempts: String,
    /// What is known of the tokens at the server selected last, before the request.
    pub place: Option<TokenPlace>,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Status of the answer.
    pub status: u16,
    /// How the body of the answer is framed, towards this router.
    pub framing: Option<Framing>,
    /// How the body of the answer ended.
    pub body_end: Option<BodyEnd>,
    /// Id of the last complete event of a stream.
    pub last_event: Option<String>,
    /// Id of the caller's attempt that began the stream, where the caller resumes one.
    pub resumes: Option<String>,
    /// How the software version is known that began that stream.
    pub origin: Option<&'static str>,
    /// Software versions of the servers whose events were relayed, in order.
    pub software: SmallVec<[SoftwareVersion; 1]>,
    /// Time to the head of the answer.
    pub head_time: Option<Duration>,
    /// Time after which the caller should retry, where no server had free capacity.
    pub retry_after: Option<Duration>,
    /// How it waited for room, if it found none at once.
    pub wait: Option<WaitTrace>,
    /// The part of its prompt for which it was refused.
    pub blamed_part: Option<u64>,
    /// How often the stream resumed at another server.
    pub resumed: u32,
}

impl RequestTrace {
    /// The trace of a request whose head has just been read.
    pub fn new(request_log: &Arc<RequestLog>) -> RequestTrace {
        RequestTrace {
            received: request_log.clock.now(),
            request_log: Arc::clone(request_log),
            finished: false,
            request: String::new(),
            forwarding: None,
            route: String::new(),
            kind: "unknown",
            service: String::new(),
            organisation: String::new(),
            rules: 0,
            rules_age: Duration::ZERO,
            attempts: String::new(),
            place: None,
            verdict: Verdict::NotRun,
            status: 0,
            framing: None,
            body_end: None,
            last_event: None,
            resumes: None,
            origin: None,
            software: SmallVec::new(),
            head_time: None,
            retry_after: None,
            wait: None,
            blamed_part: None,
            resumed: 0,
        }
    }

    /// When the head of the request was read.
    pub fn received(&self) -> Instant {
        self.received
    }

    /// Records an attempt with its result.
    pub fn record_attempt(&mut self, server: &str, known: KnownLoad, result: &str, began: Instant) {
        self.request_log.count_attempt(result);
        let took = self.request_log.clock.now().saturating_duration_since(began).as_millis();
        let gap = if self.attempts.is_empty() { "" } else { " " };
        let _ = write!(self.attempts, "{gap}{server}:{known}:{result}:{took}ms");
    }

    /// Records that events of a server with the version `software` are relayed.
    pub fn record_software(&mut self, software: &SoftwareVersion) {
        if self.software.last() != Some(software) {
            self.software.push(software.clone());
        }
    }

    /// Records the head of the answer.
    pub fn record_answer(&mut self, status: u16) {
        let took = self.request_log.clock.now().saturating_duration_since(self.received);
        self.status = status;
        self.head_time = Some(took);
        self.request_log.head_time.with_label_values(&[self.kind]).observe(took.as_secs_f64());
    }

    /// Logs the request with its outcome; later calls have no effect.
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
