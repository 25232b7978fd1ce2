//! Which backend servers are set aside because of their results.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Failures in a row after which a server is set aside.
const FAILURES: u32 = 5;
/// First time that a server is set aside.
const FIRST_REST: Duration = Duration::from_secs(1);
/// Longest time that a server is set aside.
const LONGEST_REST: Duration = Duration::from_secs(30);
/// Answers seen from a server before its times count.
const MIN_ANSWERS: u32 = 20;
/// A server this many times slower than the pool's median is set aside.
const SLOW_FACTOR: f64 = 5.0;
/// Difference to the median below which no server counts as slow.
const SLOW_FLOOR: Duration = Duration::from_millis(20);
/// Weight of the newest time in the moving mean.
const NEWEST_WEIGHT: f64 = 0.1;
/// What a product may lack of a whole number because of rounding.
const ROUNDING: f64 = 1e-9;
/// Tries that a server must leave without any result to count as stalled.
const STALLED_TRIES: u32 = 3;
/// Shortest time without a good result after which a server counts as stalled.
const STALL_TIME: Duration = Duration::from_secs(2);
/// A server that is quiet this many times longer than the pool's median is stalled.
const STALL_FACTOR: u32 = 8;
/// Servers without which a median says nothing.
const MIN_SERVERS: usize = 3;

key! {
    /// How a try at a backend server went.
    pub enum ServerResult {
        /// It answered well; the time to the head of the answer, if that tells its speed.
        Good(Option<Duration>),
        /// It did not answer well.
        Bad,
        /// Neither: the caller left, or the router gave up early.
        Unknown,
    }
}

#[derive(Debug, Clone, Default)]
struct Server {
    failures: u32,
    answers: u32,
    /// Moving mean of the time to the head, in seconds.
    mean: f64,
    /// Set aside until then; absent while in use.
    until: Option<Instant>,
    /// How often in a row it was set aside.
    rests: u32,
    /// A probe is on its way since then.
    probe: Option<Instant>,
    /// Tries that have no result yet.
    outstanding: u32,
    /// Since when tries are outstanding without a good result; absent when none are.
    quiet: Option<Instant>,
}

/// Results of the backend servers of one pool, by hash of the name.
///
/// Outlier detection with growing rests and one probe at a time; never more
/// than `most` servers are set aside at once.
#[derive(Debug, Clone, Default)]
pub struct Outliers {
    servers: HashMap<u64, Server>,
    /// Invariant: exactly the servers whose `until` is set.
    aside: Vec<u64>,
}

impl Outliers {
    /// How many of `count` servers may be set aside so that the others can carry
    /// all work within `bound` times the mean.
    pub fn max_ejected(count: usize, bound: f64) -> usize {
        let share = 1.0 - 1.0 / bound.max(1.0);
        (count as f64 * share + ROUNDING).floor() as usize
    }

    /// Whether `server` gets no request now; `probing` tells whether this
    /// request may serve as its probe.
    pub fn is_ejected(&self, server: u64, now: Instant, probing: bool) -> bool {
        let Some(it) = self.servers.get(&server) else {
            return false;
        };
        let Some(until) = it.until else {
            return false;
        };
        let probed = it.probe.is_some_and(|at| now < at + LONGEST_REST);
        now < until || probed || !probing
    }

    /// The servers that get no request now, as `is_ejected` tells.
    pub fn ejected(&self, now: Instant, probing: bool) -> impl Iterator<Item = u64> {
        self.aside.iter().copied().filter(move |it| self.is_ejected(*it, now, probing))
    }

    /// Notes that a request goes to `server`; true when it is a probe.
    pub fn begin(&mut self, server: u64, now: Instant) -> bool {
        let it = self.servers.entry(server).or_default();
        it.outstanding += 1;
        it.quiet.get_or_insert(now);
        let probe = it.until.is_some_and(|until| now >= until);
        if probe {
            it.probe = Some(now);
        }
        probe
    }

    /// Notes a result; true when the server was set aside by it.
    pub fn end(&mut self, server: u64, result: ServerResult, now: Instant, most: usize) -> bool {
        let it = self.servers.entry(server).or_default();
        it.probe = None;
        it.outstanding = it.outstanding.saturating_sub(1);
        if it.outstanding == 0 {
            it.quiet = None;
        } else if matches!(result, ServerResult::Good(_)) {
            it.quiet = Some(now);
        }
        match result {
            ServerResult::Unknown => return false,
            ServerResult::Good(time) => {
                it.failures = 0;
                if it.until.is_some_and(|until| now >= until) {
                    it.until = None;
                    it.answers = 0;
                    self.aside.retain(|id| *id != server);
                }
                if let Some(time) = time {
                    it.add(time);
                }
            }
            ServerResult::Bad => it.failures += 1,
        }
        let failing = it.failures >= FAILURES || (it.failures > 0 && it.until.is_some());
        let wanted = failing || self.is_slow(server);
        wanted && self.set_aside(server, now, most)
    }

    /// Sets `server` aside if it stalls: several tries, and no result for far
    /// longer than the others need. True when it was set aside.
    pub fn check_stall(&mut self, server: u64, now: Instant, most: usize) -> bool {
        let quiet = |it: &Server| it.quiet.map_or(Duration::ZERO, |at| now - at.min(now));
        let Some(it) = self.servers.get(&server) else {
            return false;
        };
        let own = quiet(it);
        if it.outstanding < STALLED_TRIES || own < STALL_TIME || it.until.is_some() {
            return false;
        }
        let mut all: Vec<Duration> = self.servers.values().map(quiet).collect();
        if all.len() < MIN_SERVERS {
            return false;
        }
        all.sort_unstable();
        let median = all[(all.len() - 1) / 2];
        own > median * STALL_FACTOR && self.set_aside(server, now, most)
    }

    /// Servers set aside at present.
    pub fn ejected_count(&self) -> usize {
        self.aside.len()
    }

    /// Forgets servers that are not `known`, once there are more of both than
    /// the `count` that are; one that left must not rest in another's place.
    pub fn retain(&mut self, count: usize, known: impl Fn(u64) -> bool) {
        if self.servers.len() <= count {
            return;
        }
        self.servers.retain(|id, _| known(*id));
        self.aside.retain(|id| known(*id));
    }

    fn set_aside(&mut self, server: u64, now: Instant, most: usize) -> bool {
        let ejected_count = self.ejected_count();
        let Some(it) = self.servers.get_mut(&server) else {
            return false;
        };
        let running = it.until.is_some_and(|until| now < until);
        if running || (it.until.is_none() && ejected_count >= most) {
            return false;
        }
        let rest = FIRST_REST * 2u32.saturating_pow(it.rests.min(8));
        it.rests = if it.until.is_some() { it.rests + 1 } else { 1 };
        if it.until.is_none() {
            self.aside.push(server);
        }
        it.until = Some(now + rest.min(LONGEST_REST));
        it.failures = 0;
        it.answers = 0;
        true
    }

    /// Whether the server is far slower than the median of the pool.
    fn is_slow(&self, server: u64) -> bool {
        let timed = |it: &Server| it.answers >= MIN_ANSWERS && it.until.is_none();
        let mut means: Vec<f64> =
            self.servers.values().filter(|it| timed(it)).map(|it| it.mean).collect();
        if means.len() < MIN_SERVERS {
            return false;
        }
        means.sort_by(f64::total_cmp);
        let median = means[(means.len() - 1) / 2];
        let limit = (median * SLOW_FACTOR).max(median + SLOW_FLOOR.as_secs_f64());
        self.servers.get(&server).is_some_and(|it| timed(it) && it.mean > limit)
    }
}

impl Server {
    fn add(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        self.mean = match self.answers {
            0 => time,
            _ => self.mean + (time - self.mean) * NEWEST_WEIGHT,
        };
        self.answers = self.answers.saturating_add(1);
    }
}
