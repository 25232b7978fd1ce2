//! Outlier ejection: backend servers that fail, are slow or stall get no requests for
//! a while.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Consecutive failures after which a server is ejected.
const MAX_FAILURES: u32 = 5;
/// Duration of a server's first ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Maximum duration of an ejection, and of the wait for the result of a probe.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Timed responses of a server before its response times are compared.
const MIN_RESPONSES: u32 = 20;
/// A server whose mean response time exceeds the pool's median by this factor is ejected.
const SLOW_FACTOR: f64 = 5.0;
/// Difference to the median below which no server counts as slow.
const MIN_SLOW_DIFFERENCE: Duration = Duration::from_millis(20);
/// Weight of the newest time in the moving mean.
const NEWEST_WEIGHT: f64 = 0.1;
/// Rounding error by which a product may fall short of an integer.
const ROUNDING: f64 = 1e-9;
/// Attempts without a result that a server must have to count as stalled.
const STALLED_ATTEMPTS: u32 = 3;
/// Minimum time without a good result after which a server counts as stalled.
const STALL_TIME: Duration = Duration::from_secs(2);
/// A server counts as stalled when its time without a good result exceeds the pool's
/// median by this factor.
const STALL_FACTOR: u32 = 8;
/// Servers below which a median means nothing.
const MIN_SERVERS: usize = 3;

key! {
    /// The result of an attempt at a backend server.
    pub enum ServerResult {
        /// It succeeded; holds the time to the response head if that shows the server's speed.
        Good(Option<Duration>),
        /// It failed.
        Bad,
        /// Neither is known: the caller left, or the router gave up early.
        Unknown,
    }
}

#[derive(Debug, Clone, Default)]
struct Server {
    /// Consecutive failures.
    failures: u32,
    /// Timed responses.
    responses: u32,
    /// Moving mean of the time to the response head, in seconds.
    mean: f64,
    /// End of the ejection; `None` while the server gets requests.
    ejected_until: Option<Instant>,
    /// Ejections without a recovery in between, up to the last one.
    ejections: u32,
    /// Start of the probe in progress.
    probe: Option<Instant>,
    /// Attempts that have no result yet.
    outstanding: u32,
    /// Start of the time without a good result while attempts are outstanding; `None`
    /// while none are.
    quiet_since: Option<Instant>,
}

/// Results of the backend servers of one pool, by hash of the name.
///
/// Ejections of a server grow longer, and one probe at a time tests whether it has
/// recovered. Never more than `max_ejected` servers are ejected at once.
#[derive(Debug, Clone, Default)]
pub struct Outliers {
    servers: HashMap<u64, Server>,
    /// Invariant: exactly the servers whose `ejected_until` is set.
    ejected: Vec<u64>,
}

impl Outliers {
    /// Returns how many of `count` servers may be ejected so that the others can carry
    /// all work within `bound` times the mean load.
    pub fn max_ejected(count: usize, bound: f64) -> usize {
        let share = 1.0 - 1.0 / bound.max(1.0);
        (count as f64 * share + ROUNDING).floor() as usize
    }

    /// Whether `server` must not get a request now. `may_probe` is whether the request
    /// may serve as a probe.
    pub fn is_ejected(&self, server: u64, now: Instant, may_probe: bool) -> bool {
        let Some(it) = self.servers.get(&server) else {
            return false;
        };
        let Some(until) = it.ejected_until else {
            return false;
        };
        let probed = it.probe.is_some_and(|at| now < at + MAX_EJECTION);
        now < until || probed || !may_probe
    }

    /// Returns the servers for which [`Outliers::is_ejected`] holds.
    pub fn ejected(&self, now: Instant, may_probe: bool) -> impl Iterator<Item = u64> {
        self.ejected.iter().copied().filter(move |it| self.is_ejected(*it, now, may_probe))
    }

    /// Records the start of an attempt at `server`; true when it is a probe.
    pub fn begin(&mut self, server: u64, now: Instant) -> bool {
        let it = self.servers.entry(server).or_default();
        it.outstanding += 1;
        it.quiet_since.get_or_insert(now);
        let probe = it.ejected_until.is_some_and(|until| now >= until);
        if probe {
            it.probe = Some(now);
        }
        probe
    }

    /// Records the result of an attempt; true when it ejected the server. At most
    /// `max_ejected` servers are ejected at once.
    pub fn end(
        &mut self,
        server: u64,
        result: ServerResult,
        now: Instant,
        max_ejected: usize,
    ) -> bool {
        let it = self.servers.entry(server).or_default();
        it.probe = None;
        it.outstanding = it.outstanding.saturating_sub(1);
        if it.outstanding == 0 {
            it.quiet_since = None;
        } else if matches!(result, ServerResult::Good(_)) {
            it.quiet_since = Some(now);
        }
        match result {
            ServerResult::Unknown => return false,
            ServerResult::Good(time) => {
                it.failures = 0;
                if it.ejected_until.is_some_and(|until| now >= until) {
                    it.ejected_until = None;
                    it.responses = 0;
                    self.ejected.retain(|id| *id != server);
                }
                if let Some(time) = time {
                    it.add(time);
                }
            }
            ServerResult::Bad => it.failures += 1,
        }
        let failing =
            it.failures >= MAX_FAILURES || (it.failures > 0 && it.ejected_until.is_some());
        let is_outlier = failing || self.is_slow(server);
        is_outlier && self.eject(server, now, max_ejected)
    }

    /// Ejects `server` if it is stalled: it has several attempts outstanding, and has been
    /// without a good result for far longer than the other servers. True when it was ejected.
    pub fn check_stall(&mut self, server: u64, now: Instant, max_ejected: usize) -> bool {
        let quiet = |it: &Server| it.quiet_since.map_or(Duration::ZERO, |at| now - at.min(now));
        let Some(it) = self.servers.get(&server) else {
            return false;
        };
        let own = quiet(it);
        if it.outstanding < STALLED_ATTEMPTS || own < STALL_TIME || it.ejected_until.is_some() {
            return false;
        }
        let mut all: Vec<Duration> = self.servers.values().map(quiet).collect();
        if all.len() < MIN_SERVERS {
            return false;
        }
        all.sort_unstable();
        let median = all[(all.len() - 1) / 2];
        own > median * STALL_FACTOR && self.eject(server, now, max_ejected)
    }

    /// Returns the number of servers that are ejected at present.
    pub fn ejected_count(&self) -> usize {
        self.ejected.len()
    }

    /// Drops servers that are not `known` once there are entries for more than the `count`
    /// known ones. A server that has left must not take up one of the places for ejected
    /// servers.
    pub fn retain(&mut self, count: usize, known: impl Fn(u64) -> bool) {
        if self.servers.len() <= count {
            return;
        }
        self.servers.retain(|id, _| known(*id));
        self.ejected.retain(|id| known(*id));
    }

    fn eject(&mut self, server: u64, now: Instant, max_ejected: usize) -> bool {
        let ejected_count = self.ejected_count();
        let Some(it) = self.servers.get_mut(&server) else {
            return false;
        };
        let running = it.ejected_until.is_some_and(|until| now < until);
        if running || (it.ejected_until.is_none() && ejected_count >= max_ejected) {
            return false;
        }
        let time = FIRST_EJECTION * 2u32.saturating_pow(it.ejections.min(8));
        it.ejections = if it.ejected_until.is_some() { it.ejections + 1 } else { 1 };
        if it.ejected_until.is_none() {
            self.ejected.push(server);
        }
        it.ejected_until = Some(now + time.min(MAX_EJECTION));
        it.failures = 0;
        it.responses = 0;
        true
    }

    /// Whether the server is far slower than the median of the pool.
    fn is_slow(&self, server: u64) -> bool {
        let timed = |it: &Server| it.responses >= MIN_RESPONSES && it.ejected_until.is_none();
        let mut means: Vec<f64> =
            self.servers.values().filter(|it| timed(it)).map(|it| it.mean).collect();
        if means.len() < MIN_SERVERS {
            return false;
        }
        means.sort_by(f64::total_cmp);
        let median = means[(means.len() - 1) / 2];
        let limit = (median * SLOW_FACTOR).max(median + MIN_SLOW_DIFFERENCE.as_secs_f64());
        self.servers.get(&server).is_some_and(|it| timed(it) && it.mean > limit)
    }
}

impl Server {
    fn add(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        self.mean = match self.responses {
            0 => time,
            _ => self.mean + (time - self.mean) * NEWEST_WEIGHT,
        };
        self.responses = self.responses.saturating_add(1);
    }
}
