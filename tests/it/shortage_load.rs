//! The order in which callers are served while a service is short of room: a router in front of
//! a few slots, played request by request, beside one that refuses whatever finds no room.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use filberttiller::decide::{Lane, Shortage, Standing, WaitKey, WaitQuery, WaitQueue, may_wait};

const MS: Duration = Duration::from_millis(1);
/// Step of the play.
const STEP: Duration = Duration::from_millis(5);
/// Time that a request occupies a slot.
const SERVICE_TIME: Duration = Duration::from_millis(400);
const OBJECTIVE: Duration = Duration::from_millis(500);
const SLOTS: f64 = 32.0;
const RANKS: usize = 3;

/// A kind of caller and how much it asks for.
#[derive(Clone, Copy)]
struct Caller {
    rank: u8,
    organisation: u64,
    standing: Standing,
    per_s: f64,
}

fn caller(rank: u8, organisation: u64, per_s: f64) -> Caller {
    Caller { rank, organisation, standing: Standing::New, per_s }
}

#[derive(Default, Clone)]
struct Count {
    offered: u32,
    served: u32,
    held_in_vain: u32,
}

impl Count {
    fn share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.offered.max(1))
    }
}

struct Waiting {
    caller: usize,
    lane: Lane,
    until: Instant,
    key: Option<WaitKey>,
}

struct Play {
    callers: Vec<Caller>,
    /// Whether requests wait and yield, or are refused as they come.
    is_admitted: bool,
    shortage: Shortage,
    queue: WaitQueue<usize>,
    waiting: Vec<Waiting>,
    ends: VecDeque<Instant>,
    counts: Vec<Count>,
}

impl Play {
    fn new(callers: Vec<Caller>, is_admitted: bool, now: Instant) -> Play {
        let counts = vec![Count::default(); callers.len()];
        Play {
            callers,
            is_admitted,
            shortage: Shortage::new(now),
            queue: WaitQueue::default(),
            waiting: Vec::new(),
            ends: VecDeque::new(),
            counts,
        }
    }

    /// Plays `time`, in which all callers ask for `factor` times the usual.
    fn run(&mut self, from: Instant, time: Duration, factor: f64) -> Instant {
        let mut due: Vec<f64> = (0..self.callers.len()).map(|it| it as f64 / 7.0 % 1.0).collect();
        let mut now = from;
        while now < from + time {
            self.end_requests(now);
            for (at, due) in due.iter_mut().enumerate() {
                *due += self.callers[at].per_s * factor * STEP.as_secs_f64();
                while *due >= 1.0 {
                    *due -= 1.0;
                    self.ask(at, now);
                }
            }
            now += STEP;
        }
        now
    }

    fn end_requests(&mut self, now: Instant) {
        while self.ends.front().is_some_and(|end| *end <= now) {
            self.ends.pop_front();
        }
        for at in 0..self.waiting.len() {
            let caller = self.waiting[at].caller;
            if self.waiting[at].until <= now
                && let Some(key) = self.waiting[at].key.take()
            {
                self.queue.remove(key);
                self.counts[caller].held_in_vain += 1;
                self.shortage.record(self.callers[caller].rank, true, now);
            }
        }
        while let Some(at) = self.queue.pop() {
            let caller = self.waiting[at].caller;
            if !self.begin(caller, self.waiting[at].lane, now) {
                let key = self.waiting[at].key.expect("it waits");
                self.queue.restore(key, self.callers[caller].organisation, at);
                break;
            }
            self.waiting[at].key = None;
        }
    }

    fn ask(&mut self, at: usize, now: Instant) {
        let Caller { rank, organisation, standing, .. } = self.callers[at];
        self.counts[at].offered += 1;
        let lane = match self.is_admitted {
            true => self.shortage.lane(rank, standing, now),
            false => Lane::new(rank, standing),
        };
        if !(self.is_admitted && self.queue.goes_after(lane)) && self.begin(at, lane, now) {
            return;
        }
        let rate = self.ends.len() as f64 / SERVICE_TIME.as_secs_f64();
        let query = WaitQuery {
            standing,
            objective: OBJECTIVE,
            elapsed: Duration::ZERO,
            remaining: 10_000 * MS,
            ahead: self.queue.ahead(lane, organisation),
            rate: Some(rate * self.shortage.view(lane, now).left),
        };
        match may_wait(&query) {
            Ok(time) if self.is_admitted => {
                let key = self.queue.push(lane, organisation, self.waiting.len());
                self.waiting.push(Waiting { caller: at, lane, until: now + time, key: Some(key) });
            }
            _ => self.shortage.record(rank, true, now),
        }
    }

    /// Starts a request if its rank has room.
    fn begin(&mut self, at: usize, lane: Lane, now: Instant) -> bool {
        let rank = self.callers[at].rank;
        let share = if self.is_admitted { self.shortage.share(lane, now) } else { 1.0 };
        let has_room = (self.ends.len() as f64) < (SLOTS * share).ceil();
        if has_room {
            self.ends.push_back(now + SERVICE_TIME);
            self.counts[at].served += 1;
            self.shortage.record(rank, false, now);
        }
        has_room
    }

    /// Counts of the callers that fulfil `filter`.
    fn count(&self, filter: impl Fn(&Caller) -> bool) -> Count {
        let all = self.callers.iter().zip(&self.counts).filter(|(it, _)| filter(it));
        all.fold(Count::default(), |sum, (_, it)| Count {
            offered: sum.offered + it.offered,
            served: sum.served + it.served,
            held_in_vain: sum.held_in_vain + it.held_in_vain,
        })
    }

    fn by_rank(&self) -> [Count; RANKS] {
        [0, 1, 2].map(|rank| self.count(|it| it.rank == rank))
    }
}

/// Plays `callers` for 20 s at `factor`, with and without admission.
fn play(callers: &[Caller], factor: f64) -> (Play, Play) {
    let now = Instant::now();
    let [with, without] = [true, false].map(|is_admitted| {
        let mut play = Play::new(callers.to_vec(), is_admitted, now);
        let now = play.run(now, 2_000 * MS, 0.5);
        play.run(now, 20_000 * MS, factor);
        play
    });
    (with, without)
}

/// As much in all as there is room for.
fn usual() -> Vec<Caller> {
    (0..12).map(|it| caller((it % 3) as u8, it / 3, 80.0 / 12.0)).collect()
}

// Load: a long shortage, 2.2 times the usual for two thirds of the room.
#[test]
fn long_shortage_urgent_first() {
    let (with, without) = play(&usual(), 3.3);
    let [urgent, middle, least] = with.by_rank();
    let [urgent_before, _, least_before] = without.by_rank();
    assert!((urgent_before.share() - least_before.share()).abs() < 0.1, "all lost alike");
    assert!(urgent.share() > urgent_before.share() + 0.1, "{}", urgent.share());
    assert!(urgent.share() > middle.share() && urgent.share() > least.share());
    let all = with.count(|_| true);
    assert!(least.share() > 0.4 * all.share(), "{} of {}", least.share(), all.share());
    let all_before = without.count(|_| true);
    assert!(all.served as f64 > 0.9 * f64::from(all_before.served), "servers stay in use");
    assert!(all.held_in_vain < all.offered / 20, "{} of {}", all.held_in_vain, all.offered);
}

// Load: a few urgent callers among many less urgent ones.
#[test]
fn many_less_urgent_urgent_served() {
    let callers = [caller(0, 1, 10.0), caller(2, 2, 100.0), caller(2, 3, 100.0)];
    let (with, without) = play(&callers, 1.0);
    assert!(with.by_rank()[0].share() > 0.9, "{}", with.by_rank()[0].share());
    assert!(with.by_rank()[0].share() > without.by_rank()[0].share() + 0.2);
}

// Load: a burst of half a second, shorter than what callers would wait.
#[test]
fn short_burst_waits_instead() {
    let now = Instant::now();
    let [with, without] = [true, false].map(|is_admitted| {
        let mut play = Play::new(usual(), is_admitted, now);
        let now = play.run(now, 2_000 * MS, 0.5);
        let now = play.run(now, 500 * MS, 1.3);
        play.run(now, 2_000 * MS, 0.5);
        play.count(|_| true)
    });
    let refused = |it: &Count| it.offered - it.served;
    assert!(2 * refused(&with) <= refused(&without), "{} {}", refused(&with), refused(&without));
}

// Load: one organisation asks for six times as much as it used to.
#[test]
fn heavy_organisation_pays_itself() {
    let mut callers = usual();
    for it in callers.iter_mut().filter(|it| it.organisation == 0) {
        it.per_s *= 6.0;
    }
    let (with, without) = play(&callers, 1.0);
    let others = with.count(|it| it.organisation != 0).share();
    let others_before = without.count(|it| it.organisation != 0).share();
    assert!(others > others_before, "{others} after {others_before}");
    assert!(others > with.count(|it| it.organisation == 0).share(), "{others}");
}

// Load: callers that repeat at once beside others that come back as they were told.
#[test]
fn repeated_at_once_gains_nothing() {
    let mut callers = usual();
    let repeated = Caller { standing: Standing::Repeated, ..caller(1, 8, 40.0) };
    let returned = Caller { standing: Standing::Returned, ..caller(1, 9, 40.0) };
    callers.extend([repeated, returned]);
    let (with, _) = play(&callers, 1.5);
    let share = |standing| with.count(|it| it.standing == standing && it.rank == 1).share();
    assert!(share(Standing::Returned) > share(Standing::New));
    assert!(share(Standing::New) > share(Standing::Repeated));
}
