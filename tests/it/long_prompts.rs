//! Long and short prompts on the same backend servers: a model of servers that read their prompts
//! one after the other, while bursts of long prompts come beside short ones.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use filberttiller::decide::{
    Candidate, LoadBound, ReadingRate, RequestTokens, ServerTokens, SharedPart, TokenLedger,
    TokenPlace, TokenQuery, USUAL_PACE, combine, hash_bytes, pick,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use smallvec::smallvec;

const BOUND: LoadBound = LoadBound { factor: 1.5, extra: 2.0 };
const OBJECTIVE: Duration = Duration::from_millis(500);
const MEMORY: u64 = 400_000;
/// Prompt tokens that a server reads in a millisecond.
const TOKENS_PER_MS: u64 = 68;
const SERVERS: usize = 60;
const REPORT_INTERVAL_MS: u64 = 500;
const DURATION_MS: u64 = 6_000;
const BURST_INTERVAL_MS: u64 = 1_000;
/// How long a burst lasts.
const BURST_MS: u64 = 400;
/// Long prompts in one burst, each with a new prefix.
const BURST_SIZE: f64 = 180.0;
const LONG_TOKENS: u64 = 11_800;
const SHORT_TOKENS: u64 = 830;
const SHORT_PREFIXES: u64 = 200;

/// A prompt at a server.
struct Prompt {
    router: usize,
    tokens: RequestTokens,
    is_long: bool,
    sent_ms: u64,
    /// Tokens that the server has yet to read.
    rest: u64,
}

/// Prompts that were read too late, and long ones that were put behind others.
#[derive(Debug, Default)]
struct Figures {
    late_short: u32,
    late_long: u32,
    /// Long prompts sent to a server that has another one of the same router to read, while half of
    /// the servers have nothing to read.
    behind_long: u32,
}

struct Model {
    by_tokens: bool,
    queues: Vec<VecDeque<Prompt>>,
    /// What each router knows.
    routers: Vec<Vec<TokenLedger>>,
    figures: Figures,
}

impl Model {
    fn new(routers: usize, by_tokens: bool) -> Model {
        let ledgers = || (0..SERVERS).map(|_| TokenLedger::default()).collect();
        Model {
            by_tokens,
            queues: (0..SERVERS).map(|_| VecDeque::new()).collect(),
            routers: (0..routers).map(|_| ledgers()).collect(),
            figures: Figures::default(),
        }
    }

    fn play(mut self, seed: u64) -> Figures {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now();
        for ms in 0..DURATION_MS {
            let now = start + Duration::from_millis(ms);
            self.read(ms, now);
            for to in 0..self.routers.len() {
                if (ms + to as u64 * 37).is_multiple_of(REPORT_INTERVAL_MS) {
                    self.report(to, now);
                }
            }
            let is_burst = ms % BURST_INTERVAL_MS < BURST_MS;
            let long = u64::from(is_burst && random.random_bool(BURST_SIZE / BURST_MS as f64));
            for number in 0..=long {
                let router = random.random_range(0..self.routers.len());
                let short = combine(seed, random.random_range(0..SHORT_PREFIXES));
                let is_long = number < long;
                let prefix = if is_long { combine(combine(seed, ms), number) } else { short };
                self.send(router, prefix, is_long, ms, now);
            }
        }
        self.figures
    }

    /// Lets all servers read for a millisecond.
    fn read(&mut self, ms: u64, now: Instant) {
        for (at, queue) in self.queues.iter_mut().enumerate() {
            let mut left = TOKENS_PER_MS;
            while let Some(first) = queue.front_mut().filter(|_| left > 0) {
                let read = left.min(first.rest);
                left -= read;
                first.rest -= read;
                if first.rest > 0 {
                    break;
                }
                let done = queue.pop_front().expect("there is a first one");
                let ledger = &self.routers[done.router][at];
                ledger.end_reading(&done.tokens, now);
                ledger.end(&done.tokens, 0);
                let late = u32::from(u128::from(ms - done.sent_ms) > OBJECTIVE.as_millis());
                let count = &mut self.figures;
                *(if done.is_long { &mut count.late_long } else { &mut count.late_short }) += late;
            }
        }
    }

    /// Tells the router `to` what the others have at the servers.
    fn report(&self, to: usize, now: Instant) {
        for at in 0..SERVERS {
            let mut tokens = ServerTokens::default();
            let others = self.routers.iter().enumerate().filter(|(it, _)| *it != to);
            others.for_each(|(_, it)| tokens.add(&it[at].own()));
            self.routers[to][at].set_others(tokens, now);
        }
    }

    fn send(&mut self, router: usize, prefix: u64, is_long: bool, ms: u64, now: Instant) {
        let tokens = if is_long { LONG_TOKENS } else { SHORT_TOKENS };
        let part = SharedPart { tag: prefix as u16, tokens: tokens * 4 / 5 };
        let demand = RequestTokens { unread: tokens, held: tokens / 5, parts: smallvec![part] };
        let ledgers = &self.routers[router];
        let place = |at: usize| ledgers[at].place(&demand, Some(TOKENS_PER_MS as f64 * 1e3), now);
        let at = self.choose(prefix, place);
        let tokens = RequestTokens { unread: place(at).unread, ..demand };
        ledgers[at].begin(&tokens);
        let idle = self.queues.iter().filter(|it| it.is_empty()).count();
        let is_behind = self.queues[at].iter().any(|it| it.is_long && it.router == router);
        let count = u32::from(is_long && is_behind && idle > SERVERS / 2);
        self.figures.behind_long += count;
        let rest = tokens.unread;
        self.queues[at].push_back(Prompt { router, tokens, is_long, sent_ms: ms, rest });
    }

    fn choose(&self, key: u64, place: impl Fn(usize) -> TokenPlace) -> usize {
        let candidate = |(at, it): (usize, &VecDeque<Prompt>)| Candidate {
            hash: hash_bytes(&at.to_be_bytes()),
            load: it.len() as u32,
            slots: 32,
            max_load: 48,
            pace: USUAL_PACE,
            closed: false,
        };
        let candidates: Vec<Candidate> = self.queues.iter().enumerate().map(candidate).collect();
        let first = pick(&candidates, Some(key), 0.0, &BOUND, key).expect("there is room");
        let query =
            TokenQuery { key, objective: OBJECTIVE, min_objective: OBJECTIVE, memory: MEMORY };
        match self.by_tokens {
            true => query.choose(&candidates, first, &BOUND, place).expect("there is memory"),
            false => first,
        }
    }
}

/// Guards against short prompts that miss their objective behind long ones, and long ones that are
/// read at one server while others read none: in 400 ms of each second 180 long prompts come
/// beside 1,000 short ones a second, and no router knows what the others sent lately.
#[rstest]
fn choose_spreads_reading(#[values(1, 4, 16)] routers: usize, #[values(1, 2)] seed: u64) {
    let before = Model::new(routers, false).play(seed);
    let after = Model::new(routers, true).play(seed);
    assert!(after.late_short < before.late_short, "{after:?} {before:?}");
    assert!(after.late_long < before.late_long, "{after:?} {before:?}");
    assert!(before.behind_long > 0 && after.behind_long == 0, "{after:?} {before:?}");
}

/// Guards against prefixes that move in calm, where they would be read again: with short prompts
/// alone, each goes where it would go without tokens.
#[test]
fn choose_moves_none_in_calm() {
    let now = Instant::now();
    let model = Model::new(1, true);
    let ledgers = &model.routers[0];
    let short = RequestTokens { unread: SHORT_TOKENS, ..RequestTokens::default() };
    ledgers.iter().for_each(|it| (0..3).for_each(|_| it.begin(&short)));
    for prefix in 0..SHORT_PREFIXES {
        let place = |at: usize| ledgers[at].place(&short, Some(TOKENS_PER_MS as f64 * 1e3), now);
        let without = Model::new(1, false).choose(prefix, place);
        assert_eq!(model.choose(prefix, place), without);
    }
}

/// The rate is learnt although each answer takes a constant time besides; nonsense tells nothing.
#[rstest]
#[case::steady(|it| 50.0 + it as f64 / 68.0, Some(68_000.0))]
#[case::no_reading(|_| 50.0, None)]
#[case::long_ones_first(|it| 900.0 - it as f64 / 68.0, None)]
fn rate_of_answers(#[case] millis: fn(u64) -> f64, #[case] expected: Option<f64>) {
    let mut rate = ReadingRate::default();
    for number in 0..300 {
        assert!(number >= 32 || rate.rate().is_none(), "too few answers");
        let unread = [130, 1_300, 830, 11_800][number % 4];
        rate.record(unread, Duration::from_secs_f64(millis(unread) / 1e3));
    }
    match expected {
        Some(expected) => assert!((rate.rate().unwrap() / expected - 1.0).abs() < 0.02),
        None => assert_eq!(rate.rate(), None),
    }
}
