//! Seeded traces of the users' deployments.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::decide::hash_bytes;
use crate::measure::{Head, Line, Step, Trace, TraceRequest};

/// Tokens that one request reads a second.
const READ_RATE: f64 = 8_000.0;
/// Tokens that one request writes a second (39 ms each).
const WRITE_RATE: f64 = 25.6;
/// Requests of one engine at once.
const SLOTS: u64 = 128;
/// Mean time of one request, in seconds.
const MEAN_SECONDS: f64 = 12.0;
/// Tokens that one prefix cache holds.
const CACHE_TOKENS: u64 = 400_000;

/// How the rate of requests changes over the trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateProfile {
    /// From nothing up to the usual rate and back to nothing.
    Day,
    /// One organisation at ten times its usual rate for a while.
    Weekend,
    /// The usual rate throughout.
    Steady,
}

/// A deployment.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// Its name.
    pub name: &'static str,
    /// Engines.
    pub engines: u64,
    /// Routers.
    pub routers: u64,
    /// Failure domains.
    pub domains: u64,
    /// Organisations.
    pub organisations: u64,
    /// How the rate changes.
    pub rate_profile: RateProfile,
    /// Share of chats with long histories.
    pub long_share: f64,
    /// Requests that run at one engine on average while traffic is usual.
    pub running: f64,
    /// Pause between two load reports.
    pub report_ms: u64,
    /// End of the trace.
    pub end_ms: u64,
}

/// All deployments.
pub const SHAPES: &[Shape] = &[
    Shape {
        name: "dalisay",
        engines: 20,
        routers: 4,
        domains: 3,
        organisations: 10,
        rate_profile: RateProfile::Day,
        long_share: 0.6,
        running: 48.0,
        report_ms: 500,
        end_ms: 240_000,
    },
    Shape {
        name: "pierscionkowo",
        engines: 12,
        routers: 4,
        domains: 3,
        organisations: 10,
        rate_profile: RateProfile::Weekend,
        long_share: 0.5,
        running: 48.0,
        report_ms: 500,
        end_ms: 240_000,
    },
    Shape {
        name: "slice",
        engines: 100,
        routers: 50,
        domains: 8,
        organisations: 60,
        rate_profile: RateProfile::Steady,
        long_share: 0.6,
        running: 64.0,
        report_ms: 2_000,
        end_ms: 160_000,
    },
];

/// The trace of `shape` for `seed`.
pub fn generate(shape: &Shape, seed: u64) -> Trace {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ hash_bytes(shape.name.as_bytes()));
    let mut lines = faults(shape);
    chats(shape, &mut rng, &mut lines);
    lines.sort_by_key(|it| it.at_ms);
    let head = Head {
        trace: shape.name.to_owned(),
        routers: shape.routers,
        bound: 1.25,
        reuse_gap: 3.0,
        report_ms: shape.report_ms,
        lag_ms: 300,
        list_ms: 2_000,
        sample_ms: 250,
        end_ms: shape.end_ms,
    };
    Trace { head, lines }
}

/// Joins, leaves, flapping, a slow engine, lag, and a third gone at once.
fn faults(shape: &Shape) -> Vec<Line> {
    let part = |share: f64| (shape.end_ms as f64 * share) as u64;
    let mut lines = Vec::new();
    let mut add = |at_ms, step| lines.push(Line { at_ms, step });
    let last = shape.engines - 1;
    for i in 0..last {
        add(0, join(shape, i));
    }
    add(part(0.20), Step::Leave { engine: name(0) });
    add(part(0.24), Step::Crash { engine: name(0) });
    add(part(0.26), join(shape, last));
    for flap in 0..6 {
        add(part(0.30 + 0.025 * f64::from(flap)), Step::Crash { engine: name(1) });
        add(part(0.312 + 0.025 * f64::from(flap)), join(shape, 1));
    }
    add(part(0.34), Step::Pace { engine: name(2), factor: 0.25 });
    add(part(0.50), Step::Pace { engine: name(2), factor: 1.0 });
    let third = shape.engines / 3;
    for i in 3..3 + third {
        add(part(0.55), Step::Crash { engine: name(i) });
        add(part(0.66), join(shape, i));
    }
    add(part(0.75), Step::Lag { lag_ms: 1_500 });
    add(part(0.82), Step::Lag { lag_ms: 300 });
    lines.sort_by_key(|it| it.at_ms);
    lines
}

fn name(index: u64) -> String {
    format!("engine-{index}")
}

fn join(shape: &Shape, index: u64) -> Step {
    Step::Join {
        engine: name(index),
        domain: format!("domain-{}", index % shape.domains),
        slots: SLOTS,
        cache: CACHE_TOKENS,
        read: READ_RATE,
        write: WRITE_RATE,
    }
}

/// All requests of all chats.
fn chats(shape: &Shape, rng: &mut ChaCha8Rng, lines: &mut Vec<Line>) {
    let rate = shape.engines as f64 * shape.running / MEAN_SECONDS;
    let turns = 5.0;
    let mut at = -40.0;
    let mut chat = 0;
    let end = shape.end_ms as f64 / 1e3;
    while at < end {
        at += -rng.random::<f64>().max(1e-12).ln() / (rate / turns) / 3.0;
        let organisation = organisation(shape, rng);
        let surging = organisation == 0;
        if rng.random::<f64>() * 3.0 > rate_factor(shape.rate_profile, at / end, surging) {
            continue;
        }
        chat += 1;
        one_chat(shape, rng, at, (organisation, chat), lines);
    }
}

/// A few organisations are large.
fn organisation(shape: &Shape, rng: &mut ChaCha8Rng) -> u64 {
    let share = rng.random::<f64>();
    (share * share * shape.organisations as f64) as u64
}

/// Rate of new chats relative to the usual one; `part` of the trace is over.
fn rate_factor(rate_profile: RateProfile, part: f64, surging: bool) -> f64 {
    match rate_profile {
        RateProfile::Steady => 1.0,
        RateProfile::Day => (part / 0.15).min((0.9 - part) / 0.15).clamp(0.0, 1.0),
        RateProfile::Weekend if surging && (0.35..0.65).contains(&part) => 2.0,
        RateProfile::Weekend if surging => 0.2,
        RateProfile::Weekend => 0.6,
    }
}

fn one_chat(
    shape: &Shape,
    rng: &mut ChaCha8Rng,
    start: f64,
    (organisation, chat): (u64, u64),
    lines: &mut Vec<Line>,
) {
    let long = rng.random_bool(shape.long_share);
    let mut prompt = if long { rng.random_range(300..900) } else { rng.random_range(60..200) };
    let mut at = start;
    for _ in 0..rng.random_range(1..=9) {
        let answer = if long { rng.random_range(250..650) } else { rng.random_range(30..120) };
        if at >= 0.0 && ((at * 1e3) as u64) <= shape.end_ms {
            let request = TraceRequest {
                organisation: format!("organisation-{organisation}"),
                chat: format!("chat-{chat}"),
                prompt,
                answer,
                max_answer: answer + answer / 4,
            };
            lines.push(Line { at_ms: (at * 1e3) as u64, step: Step::Request(request) });
        }
        let pause = rng.random_range(3.0..30.0);
        at += answer as f64 / WRITE_RATE * 1.2 + prompt as f64 / READ_RATE + pause;
        prompt += answer + if long { rng.random_range(40..160) } else { rng.random_range(20..60) };
        if prompt > 4_000 {
            return;
        }
    }
}
