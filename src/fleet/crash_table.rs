//! Backend servers that crashed while running a request, as reported by all routers.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::decide::Engine;
use crate::wire::{WireCrash, age_ms, time_of_age};

/// Limit of stored reports; above it the oldest are dropped.
const MAX_REPORTS: usize = 4_096;

key! {
    /// A backend server crashed while it ran a request.
    pub struct Crash {
        /// Fingerprint of the request.
        pub fingerprint: u64,
        /// Hash of the backend server's name.
        pub server: u64,
        /// Incarnation of the backend server that crashed.
        pub incarnation: u64,
        /// Number of the ticket that had lifted the suspicion against the request
        /// before the crash; 0 for none.
        pub lift: u64,
    }

    /// A crash and its time on the clock of this process.
    pub struct CrashReport {
        /// The crash.
        pub crash: Crash,
        /// When the backend server crashed.
        pub at: Instant,
    }
}

impl Crash {
    /// Whether both describe the same crash, whatever was lifted before it.
    fn is_same(&self, other: &Crash) -> bool {
        let key = |it: &Crash| (it.fingerprint, it.server, it.incarnation);
        key(self) == key(other)
    }
}

impl CrashReport {
    /// Converts the report for peers, with its age in place of its time.
    pub(crate) fn to_wire(self, now: Instant) -> WireCrash {
        let Crash { fingerprint, server, incarnation, lift } = self.crash;
        WireCrash(fingerprint, server, incarnation, lift, age_ms(self.at, now))
    }

    /// Converts a report received from a peer.
    pub(crate) fn from_wire(wire: &WireCrash, now: Instant) -> CrashReport {
        let WireCrash(fingerprint, server, incarnation, lift, age) = *wire;
        let crash = Crash { fingerprint, server, incarnation, lift };
        CrashReport { crash, at: time_of_age(age, now).unwrap_or(now) }
    }
}

/// Reports about one request.
type RequestCrashes = SmallVec<[CrashReport; 2]>;

#[derive(Debug, Default)]
struct State {
    /// Reports in the order of their arrival.
    reports: VecDeque<CrashReport>,
    /// Sequence number of the oldest report.
    first: usize,
    /// Reports by fingerprint. Invariant: no crash twice, and only what is in
    /// `reports`.
    by_request: HashMap<u64, RequestCrashes>,
    /// Number of reports for each server and incarnation. Invariant: above 0.
    by_server: HashMap<(u64, u64), u32>,
    /// Fingerprints of the suspects that run on this router.
    running: HashSet<u64>,
}

impl State {
    /// Adds a report; false when the same crash is known with this or a higher
    /// `lift`.
    fn add(&mut self, report: CrashReport) -> bool {
        let crash = &report.crash;
        let crashes = self.by_request.entry(crash.fingerprint).or_default();
        match crashes.iter_mut().find(|it| it.crash.is_same(crash)) {
            Some(known) if known.crash.lift >= crash.lift => return false,
            Some(known) => *known = report,
            None => crashes.push(report),
        }
        *self.by_server.entry((crash.server, crash.incarnation)).or_default() += 1;
        self.reports.push_back(report);
        true
    }

    fn drop_oldest(&mut self) {
        let Some(report) = self.reports.pop_front() else {
            return;
        };
        self.first += 1;
        let Crash { fingerprint, server, incarnation, .. } = report.crash;
        if let Some(crashes) = self.by_request.get_mut(&fingerprint) {
            crashes.retain(|it| *it != report);
            if crashes.is_empty() {
                self.by_request.remove(&fingerprint);
            }
        }
        if let Some(count) = self.by_server.get_mut(&(server, incarnation)) {
            *count -= 1;
            if *count == 0 {
                self.by_server.remove(&(server, incarnation));
            }
        }
    }
}

/// All crashes known to this router.
#[derive(Debug)]
pub struct CrashTable {
    /// How long a crash counts.
    release: Duration,
    state: Mutex<State>,
    /// Whether any crash was ever recorded; lets requests skip the lock until then.
    has_reports: AtomicBool,
}

/// Marks a suspect as running on this router until dropped.
#[derive(Debug)]
pub struct RunningSuspect {
    table: Arc<CrashTable>,
    fingerprint: u64,
}

impl Drop for RunningSuspect {
    fn drop(&mut self) {
        self.table.state().running.remove(&self.fingerprint);
    }
}

impl CrashTable {
    /// An empty table; a crash counts for the time `release`.
    pub fn new(release: Duration) -> CrashTable {
        CrashTable { release, state: Mutex::default(), has_reports: AtomicBool::new(false) }
    }

    /// Adds a crash observed here or reported by a peer; false when it is already
    /// known or no longer counts.
    pub fn insert(&self, report: CrashReport, now: Instant) -> bool {
        if !self.counts(&report, now) {
            return false;
        }
        let mut state = self.state();
        if !state.add(report) {
            return false;
        }
        if state.reports.len() > MAX_REPORTS {
            state.drop_oldest();
        }
        self.has_reports.store(true, Ordering::Release);
        true
    }

    /// Reports from sequence number `from` on, and the sequence number after the
    /// last one.
    pub fn since(&self, from: usize) -> (Vec<CrashReport>, usize) {
        let state = self.state();
        let skipped = from.saturating_sub(state.first);
        let reports = state.reports.iter().skip(skipped).copied().collect();
        (reports, state.first + state.reports.len())
    }

    /// All reports that count.
    pub fn current(&self, now: Instant) -> Vec<CrashReport> {
        if !self.has_reports() {
            return Vec::new();
        }
        let state = self.state();
        state.by_request.values().flatten().filter(|it| self.counts(it, now)).copied().collect()
    }

    /// The reports that matter most to other routers, at most `limit`: on requests that
    /// crashed several servers, then the latest.
    pub fn most_relevant(&self, limit: usize, now: Instant) -> Vec<CrashReport> {
        let mut reports = self.current(now);
        if reports.len() > limit {
            let count = |it: &CrashReport| self.crash_count(it.crash.fingerprint, 0, now);
            reports.sort_by_cached_key(|it| Reverse((count(it) > 1, it.at)));
            reports.truncate(limit);
        }
        reports
    }

    /// Number of backend servers that the request crashed. `lift` is the ticket
    /// that lifted the suspicion against it, 0 for none; crashes from before that
    /// ticket do not count.
    pub fn crash_count(&self, fingerprint: u64, lift: u64, now: Instant) -> usize {
        let state = self.state();
        let crashes = state.by_request.get(&fingerprint).into_iter().flatten();
        crashes.filter(|it| it.crash.lift >= lift && self.counts(it, now)).count()
    }

    /// Whether any crash was ever recorded.
    pub fn has_reports(&self) -> bool {
        self.has_reports.load(Ordering::Acquire)
    }

    /// Whether this incarnation of a backend server is known to have crashed.
    pub fn has_crashed(&self, server: u64, incarnation: u64) -> bool {
        self.has_reports() && self.state().by_server.contains_key(&(server, incarnation))
    }

    /// Ids of those of `engines` whose incarnation is known to have crashed.
    pub fn crashed_among(&self, engines: &[Engine]) -> SmallVec<[u64; 4]> {
        if !self.has_reports() {
            return SmallVec::new();
        }
        let state = self.state();
        let crashed =
            engines.iter().filter(|it| state.by_server.contains_key(&(it.id, it.incarnation)));
        crashed.map(|it| it.id).collect()
    }

    /// Marks the suspect with `fingerprint` as running on this router; `None` when
    /// it already runs here.
    pub fn start_suspect(self: &Arc<CrashTable>, fingerprint: u64) -> Option<RunningSuspect> {
        let is_new = self.state().running.insert(fingerprint);
        is_new.then(|| RunningSuspect { table: Arc::clone(self), fingerprint })
    }

    /// Whether the crash is recent enough to count.
    fn counts(&self, report: &CrashReport, now: Instant) -> bool {
        now.saturating_duration_since(report.at) < self.release
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }
}
