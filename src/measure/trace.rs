//! Traces of a fleet as JSON lines: the head first, then steps in the order of time.

use std::collections::BTreeSet;

use crate::measure::TraceError;

/// Maximum number of routers, of engines and of slots per engine in a trace.
const MAX_COUNT: u64 = 10_000;

wire! {
    /// The first line: the fleet and the targets.
    #[serde(deny_unknown_fields)]
    pub struct Head {
        /// Name of the trace.
        pub trace: String,
        /// Number of routers.
        pub routers: u64,
        /// Target: maximum load of an engine as a multiple of the mean.
        pub bound: f64,
        /// Target: percentage points by which reuse may fall short of the all-knowing
        /// policy.
        pub reuse_gap: f64,
        /// Interval between two load reports of an engine to a router.
        pub report_ms: u64,
        /// Age of a load report when it arrives.
        pub lag_ms: u64,
        /// Maximum time until a router receives a change of the instance list.
        pub list_ms: u64,
        /// Interval between two samples of the true load.
        pub sample_ms: u64,
        /// End of the replay.
        pub end_ms: u64,
    }

    /// One of the lines after the head.
    pub struct Line {
        /// Time since the start.
        pub at_ms: u64,
        /// The step.
        #[serde(flatten)]
        pub step: Step,
    }

    /// A change of the fleet, or a request.
    #[serde(tag = "step", rename_all = "lowercase")]
    pub enum Step {
        /// An engine starts with an empty cache, for the first time or again.
        Join {
            /// Its name.
            engine: String,
            /// Its failure domain.
            domain: String,
            /// Requests that run at once.
            slots: u64,
            /// Capacity of its prefix cache, in tokens.
            cache: u64,
            /// Prompt tokens that one request reads per second.
            read: f64,
            /// Answer tokens that one request writes per second.
            write: f64,
        },
        /// An engine takes no new requests and finishes those it has.
        Leave {
            /// Its name.
            engine: String,
        },
        /// An engine crashes and loses its requests and its cache.
        Crash {
            /// Its name.
            engine: String,
        },
        /// Requests that start from now on run at `factor` times the default speed.
        Pace {
            /// Name of the engine.
            engine: String,
            /// Speed factor, above 0.
            factor: f64,
        },
        /// Load reports arrive with this age from now on.
        Lag {
            /// The age.
            lag_ms: u64,
        },
        /// A request.
        #[serde(rename = "ask")]
        Request(TraceRequest),
    }

    /// A request of a chat.
    pub struct TraceRequest {
        /// Organisation of the caller.
        pub organisation: String,
        /// Chat; its requests share their prefix.
        pub chat: String,
        /// Tokens of the prompt, the history included.
        pub prompt: u64,
        /// Tokens of the answer.
        pub answer: u64,
        /// Maximum tokens of the answer that the caller allows.
        #[serde(rename = "most")]
        pub max_answer: u64,
    }

    /// A trace.
    pub struct Trace {
        /// The fleet and the targets.
        pub head: Head,
        /// The steps. Invariant: in the order of time.
        pub lines: Vec<Line>,
    }
}

/// Parses a trace from JSON lines.
///
/// # Errors
/// Returns the first invalid line and what is wrong there.
pub fn parse_trace(text: &str) -> Result<Trace, TraceError> {
    let mut rows = text.lines().enumerate().filter(|(_, it)| !it.trim().is_empty());
    let Some((index, first)) = rows.next() else {
        return Err(TraceError { line: 0, fault: "it is empty".to_owned() });
    };
    let head: Head = read(index, first)?;
    check_head(&head).map_err(|fault| TraceError { line: index + 1, fault })?;
    let mut lines: Vec<Line> = Vec::new();
    let mut known = BTreeSet::new();
    for (index, row) in rows {
        let line: Line = read(index, row)?;
        let before = lines.last().map_or(0, |it| it.at_ms);
        check_line(&line, before, &head, &mut known)
            .map_err(|fault| TraceError { line: index + 1, fault })?;
        lines.push(line);
    }
    Ok(Trace { head, lines })
}

fn read<T: serde::de::DeserializeOwned>(index: usize, row: &str) -> Result<T, TraceError> {
    serde_json::from_str(row).map_err(|e| TraceError { line: index + 1, fault: e.to_string() })
}

fn check_head(head: &Head) -> Result<(), String> {
    expect((1..=MAX_COUNT).contains(&head.routers), "`routers` must be 1 to 10000")?;
    expect(head.bound > 1.0 && head.bound.is_finite(), "`bound` must be above 1")?;
    expect(head.reuse_gap >= 0.0, "`reuse_gap` must not be below 0")?;
    expect(head.report_ms > 0, "`report_ms` must be above 0")?;
    expect(head.sample_ms > 0, "`sample_ms` must be above 0")?;
    expect(head.end_ms <= 86_400_000, "`end_ms` must be at most a day")
}

fn check_line(
    line: &Line,
    before: u64,
    head: &Head,
    known: &mut BTreeSet<String>,
) -> Result<(), String> {
    expect(line.at_ms >= before, "`at_ms` is before that of the line above")?;
    expect(line.at_ms <= head.end_ms, "`at_ms` is after `end_ms`")?;
    match &line.step {
        Step::Join { engine, slots, read, write, .. } => {
            expect((1..=MAX_COUNT).contains(slots), "`slots` must be 1 to 10000")?;
            expect(is_rate(*read), "`read` must be above 0")?;
            expect(is_rate(*write), "`write` must be above 0")?;
            known.insert(engine.clone());
            expect(known.len() as u64 <= MAX_COUNT, "too many engines")
        }
        Step::Leave { engine } | Step::Crash { engine } => is_known(known, engine),
        Step::Pace { engine, factor } => {
            expect(is_rate(*factor), "`factor` must be above 0")?;
            is_known(known, engine)
        }
        Step::Lag { lag_ms } => expect(*lag_ms <= 3_600_000, "`lag_ms` must be at most an hour"),
        Step::Request(request) => {
            let limit = u64::from(u32::MAX);
            let small = request.prompt <= limit && request.max_answer <= limit;
            expect(small, "`prompt` and `most` must be below 2^32")?;
            expect(request.answer <= request.max_answer, "`answer` must be at most `most`")?;
            expect(request.prompt + request.answer > 0, "the request has no tokens")
        }
    }
}

fn is_known(known: &BTreeSet<String>, engine: &str) -> Result<(), String> {
    match known.contains(engine) {
        true => Ok(()),
        false => Err(format!("engine `{engine}` has not joined")),
    }
}

fn is_rate(value: f64) -> bool {
    value.is_finite() && value >= 1e-3
}

fn expect(valid: bool, fault: &str) -> Result<(), String> {
    if valid { Ok(()) } else { Err(fault.to_owned()) }
}

/// Writes a trace as JSON lines.
pub fn write_trace(trace: &Trace) -> String {
    let mut text = serde_json::to_string(&trace.head).unwrap_or_default();
    text.push('\n');
    for line in &trace.lines {
        text.push_str(&serde_json::to_string(line).unwrap_or_default());
        text.push('\n');
    }
    text
}
