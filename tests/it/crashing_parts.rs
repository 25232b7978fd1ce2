//! A fleet of routers, without a network, whose callers send prompts with a part that crashes
//! the backend servers: how many requests with it are sent, and whether sound ones are.

use std::time::{Duration, Instant};

use filberttiller::decide::{CutRun, PartIds, PartPolicy, PartSuspects, RunProgress};
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// The part that all prompts begin with.
const FIRST_PART: u64 = 1;
/// The part that crashes servers.
const BAD_PART: u64 = 0xbad;
/// Other parts, of which prompts have one each.
const DOCUMENTS: u64 = 40;
/// The promise: after this many crashes and `CONTACT_MS`, at most `MAX_FURTHER` requests with the
/// bad part are sent, and after `2 * CONTACT_MS` sound requests run as ever.
const MAX_CRASHES: usize = 5;
const CONTACT_MS: u64 = 3_000;
const MAX_FURTHER: usize = 3;
/// Share of the sound requests that may be refused then.
const MAX_REFUSED: f64 = 0.05;
/// Seeds of each case.
const SEEDS: u64 = 6;
const RUN_MS: u64 = 40_000;
const STEP_MS: u64 = 10;
/// Time between two rounds of exchanges of a router, and routers per round.
const ROUND_MS: u64 = 500;
const PER_ROUND: usize = 4;
/// Time between the begin of an answer and the crash.
const CRASH_MS: std::ops::Range<u64> = 30..115;

/// A fleet and its callers.
struct Scenario {
    routers: usize,
    servers: usize,
    /// Requests a second.
    sound_rate: f64,
    bad_rate: f64,
    /// The only document of the bad prompts; otherwise any.
    document: Option<u64>,
    /// The first router exchanges nothing from second 5 to second 12.
    is_cut: bool,
    /// Half of the routers start anew at second 15, as far as known from the others.
    restarts: bool,
}

struct Run {
    router: usize,
    server: usize,
    begins: u64,
    ends: u64,
    parts: [u64; 2],
    is_bad: bool,
}

struct SoundRequest {
    ms: u64,
    is_refused: bool,
}

#[derive(Default)]
struct Outcome {
    crashes: Vec<u64>,
    /// When requests with the bad part were sent by routers in touch.
    bad_sent: Vec<u64>,
    sound: Vec<SoundRequest>,
}

struct Fleet {
    scenario: Scenario,
    random: ChaCha8Rng,
    start: Instant,
    routers: Vec<PartSuspects>,
    /// Incarnation of each server.
    born: Vec<u64>,
    runs: Vec<Run>,
    outcome: Outcome,
}

impl Fleet {
    fn new(scenario: Scenario, seed: u64) -> Fleet {
        Fleet {
            random: ChaCha8Rng::seed_from_u64(seed),
            start: Instant::now() + Duration::from_secs(3_600),
            routers: (0..scenario.routers).map(|_| PartSuspects::default()).collect(),
            born: vec![0; scenario.servers],
            runs: Vec::new(),
            outcome: Outcome::default(),
            scenario,
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn is_cut(&self, router: usize, ms: u64) -> bool {
        self.scenario.is_cut && router == 0 && (5_000..12_000).contains(&ms)
    }

    fn is_in_touch(&self, router: usize, ms: u64) -> bool {
        let cut = 5_000..12_000 + CONTACT_MS;
        let was_cut = self.scenario.is_cut && router == 0 && cut.contains(&ms);
        let restarted = (15_000..15_000 + CONTACT_MS).contains(&ms);
        let was_restarted = self.scenario.restarts && router.is_multiple_of(2) && restarted;
        !was_cut && !was_restarted
    }

    fn arrive(&mut self, ms: u64, is_bad: bool) {
        let router = self.random.random_range(0..self.routers.len());
        let any = 100 + self.random.random_range(0..DOCUMENTS);
        let document = self.scenario.document.filter(|_| is_bad).unwrap_or(any);
        let bad = is_bad.then_some(BAD_PART);
        let parts: Vec<u64> = [FIRST_PART, document].into_iter().chain(bad).collect();
        let now = self.at(ms);
        let policy = self.routers[router].policy(&parts, now);
        if !is_bad {
            let is_refused = matches!(policy, PartPolicy::Reject(_));
            self.outcome.sound.push(SoundRequest { ms, is_refused });
        }
        if let PartPolicy::Reject(_) = policy {
            return;
        }
        if let PartPolicy::Trial(part) = policy {
            self.routers[router].end_trial(part);
        }
        if is_bad && self.is_in_touch(router, ms) {
            self.outcome.bad_sent.push(ms);
        }
        let begins = ms + self.random.random_range(10..350);
        let time = if is_bad {
            self.random.random_range(CRASH_MS)
        } else {
            self.random.random_range(100..2_500)
        };
        let server = self.random.random_range(0..self.born.len());
        let parts = [parts[1], parts.get(2).copied().unwrap_or(0)];
        self.runs.push(Run { router, server, begins, ends: begins + time, parts, is_bad });
    }

    fn crash(&mut self, server: usize, ms: u64) {
        self.outcome.crashes.push(ms);
        let now = self.at(ms);
        let incarnation = (server as u64) << 32 | self.born[server];
        self.born[server] += 1;
        let (cut, others) =
            std::mem::take(&mut self.runs).into_iter().partition(|it| it.server == server);
        self.runs = others;
        let cut: Vec<Run> = cut;
        for it in cut {
            let age = Duration::from_millis(ms.saturating_sub(it.begins));
            let progress = match it.begins > ms {
                true => RunProgress::Unanswered,
                false => RunProgress::of_answer(age, !it.is_bad && age > Duration::from_millis(30)),
            };
            let parts = shared(&it);
            let points = progress.points();
            let run = CutRun { server: incarnation, points, at: now, parts };
            self.routers[it.router].record_cut(run, now);
            self.exchange(it.router, ms);
        }
    }

    fn exchange(&mut self, router: usize, ms: u64) {
        if self.is_cut(router, ms) {
            return;
        }
        let others: Vec<usize> =
            (0..self.routers.len()).filter(|it| *it != router && !self.is_cut(*it, ms)).collect();
        let now = self.at(ms);
        let chosen = others.into_iter().choose_multiple(&mut self.random, PER_ROUND);
        for other in chosen {
            let news = self.routers[router].news(now);
            self.routers[other].merge(news, now);
            let news = self.routers[other].news(now);
            self.routers[router].merge(news, now);
        }
    }

    fn step(&mut self, ms: u64) {
        let per_step = STEP_MS as f64 / 1_000.0;
        if self.random.random_bool(self.scenario.sound_rate * per_step) {
            self.arrive(ms, false);
        }
        if ms >= 2_000 && self.random.random_bool(self.scenario.bad_rate * per_step) {
            self.arrive(ms, true);
        }
        let is_over = |it: &Run| it.ends <= ms;
        while let Some(it) = self.runs.iter().find(|it| is_over(it) && it.is_bad) {
            self.crash(it.server, ms);
        }
        let now = self.at(ms);
        for it in self.runs.iter().filter(|it| is_over(it)) {
            self.routers[it.router].record_answered(shared(it).into_iter(), now);
        }
        self.runs.retain(|it| !is_over(it));
        for router in 0..self.routers.len() {
            if (ms + router as u64 * 10).is_multiple_of(ROUND_MS) {
                self.routers[router].remove_expired(now);
                self.exchange(router, ms);
            }
            if self.scenario.restarts && ms == 15_000 && router.is_multiple_of(2) {
                self.routers[router] = PartSuspects::default();
            }
        }
    }

    fn run(mut self) -> Outcome {
        for ms in (0..RUN_MS).step_by(STEP_MS as usize) {
            self.step(ms);
        }
        self.outcome
    }
}

fn shared(run: &Run) -> PartIds {
    [FIRST_PART, run.parts[0], run.parts[1]].into_iter().filter(|it| *it != 0).collect()
}

fn scenario(routers: usize, servers: usize, sound_rate: f64, bad_rate: f64) -> Scenario {
    Scenario {
        routers,
        servers,
        sound_rate,
        bad_rate,
        document: None,
        is_cut: false,
        restarts: false,
    }
}

/// Guards against parts that crash one server after the other (BUDGET), and against sound
/// requests refused because they share parts with those that crash servers (LOST).
#[rstest]
#[case::one_router(scenario(1, 18, 90.0, 1.0))]
#[case::small_fleet(scenario(4, 18, 90.0, 1.0))]
#[case::small_fleet_many_bad(scenario(4, 18, 90.0, 8.0))]
#[case::few_servers(scenario(4, 3, 30.0, 2.0))]
#[case::few_sound(scenario(4, 18, 4.0, 2.0))]
#[case::seldom_bad(scenario(4, 18, 60.0, 0.3))]
#[case::large_fleet(scenario(33, 140, 95.0, 1.0))]
#[case::large_fleet_many_bad(scenario(33, 140, 95.0, 12.0))]
#[case::large_fleet_few_sound(scenario(33, 140, 10.0, 2.0))]
#[case::one_document(Scenario { document: Some(100), ..scenario(4, 18, 60.0, 2.0) })]
#[case::one_document_few_sound(Scenario { document: Some(100), ..scenario(4, 18, 6.0, 4.0) })]
#[case::large_fleet_one_document(Scenario { document: Some(100), ..scenario(33, 140, 90.0, 3.0) })]
#[case::cut(Scenario { is_cut: true, ..scenario(4, 18, 90.0, 1.0) })]
#[case::large_fleet_cut(Scenario { is_cut: true, ..scenario(33, 140, 95.0, 2.0) })]
#[case::restarts(Scenario { restarts: true, ..scenario(4, 18, 90.0, 1.0) })]
#[case::large_fleet_restarts(Scenario { restarts: true, is_cut: true, ..scenario(33, 140, 95.0, 4.0) })]
fn bad_part_kept_off_servers(#[case] scenario: Scenario) {
    for seed in 1..=SEEDS {
        let outcome = Fleet::new(Scenario { ..scenario }, seed).run();
        let crashes = &outcome.crashes;
        eprintln!("seed {seed}: {} crashes", crashes.len());
        let last = crashes.get(MAX_CRASHES - 1).or(crashes.last()).copied().expect("a crash");
        let late = outcome.sound.iter().filter(|it| it.ms > last + 2 * CONTACT_MS);
        let (refused, served): (Vec<_>, Vec<_>) = late.partition(|it| it.is_refused);
        let share = refused.len() as f64 / (refused.len() + served.len()) as f64;
        assert!(share <= MAX_REFUSED, "seed {seed}: {share:.3} of the sound requests refused");
        let further = outcome.bad_sent.iter().filter(|it| **it > last + CONTACT_MS).count();
        let is_bound = crashes.len() >= MAX_CRASHES;
        assert!(!is_bound || further <= MAX_FURTHER, "seed {seed}: {further} further requests");
    }
}
