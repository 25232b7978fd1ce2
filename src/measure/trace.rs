//! Traces: JSON lines, the head first, then steps in the order of time.

use std::collections::BTreeSet;

use crate::measure::TraceError;

/// Most routers, engines and slots of one trace.
const MAX_COUNT: u64 = 10_000;

wire! {
    /// The first line: the fleet and the stated outcomes.
    #[serde(deny_unknown_fields)]
    pub struct Head {
        /// Name of the trace.
        pub trace: String,
        /// Routers.
        pub routers: u64,
        /// Largest load of an engine as a multiple of the mean; a stated outcome.
        pub bound: f64,
        /// Points by which reuse may fall short of the all-knowing router; a
        /// stated outcome.
        pub reuse_gap: f64,
        /// Pause between two load reports that a router gets of an engine.
        pub report_ms: u64,
        /// Age of a load report when it arrives.
        pub lag_ms: u64,
        /// Longest time until a router knows a change of the instance list.
        pub list_ms: u64,
        /// Pause between two samples of the true load.
        pub sample_ms: u64,
        /// End of the replay.
        pub end_ms: u64,
    }

    /// One further line.
    pub struct Line {
        /// Time from the start.
        pub at_ms: u64,
        /// What happens.
        #[serde(flatten)]
        pub step: Step,
    }

    /// What happens.
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
            /// Tokens that its prefix cache holds.
            cache: u64,
            /// Tokens that one request reads a second.
            read: f64,
            /// Tokens that one request writes a second.
            write: f64,
        },
        /// An engine takes no new work and finishes what it has.
        Leave {
            /// Its name.
            engine: String,
        },
        /// An engine is gone with all it has.
        Crash {
            /// Its name.
            engine: String,
        },
        /// Requests that start from now on run at `factor` of the usual pace.
        Pace {
            /// Name of the engine.
            engine: String,
            /// Above 0.
            factor: f64,
        },
        /// Load reports have this age from now on.
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
        /// Organisation.
        pub organisation: String,
        /// Chat; its requests share their prefix.
        pub chat: String,
        /// Tokens of the prompt, the history included.
        pub prompt: u64,
        /// Tokens of the answer.
        pub answer: u64,
        /// Most tokens of the answer that the caller allows.
        #[serde(rename = "most")]
        pub max_answer: u64,
    }

    /// A whole trace.
    pub struct Trace {
        /// The fleet and the stated outcomes.
        pub head: Head,
        /// Invariant: in the order of time.
        pub lines: Vec<Line>,
    }
}

/// Reads a trace from JSON lines.
///
/// # Errors
/// Names the line and what is wrong there.
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

fn expect(good: bool, fault: &str) -> Result<(), String> {
    if good { Ok(()) } else { Err(fault.to_owned()) }
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
