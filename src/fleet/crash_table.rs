//! Backend servers that died while running a request, from all routers.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::decide::Engine;
use crate::wire::WireCrash;

/// Reports remembered at most; the oldest make room.
const MAX_REPORTS: usize = 4_096;

key! {
    /// A backend server died while it ran a request.
    pub struct Crash {
        /// Fingerprint of the request.
        pub fingerprint: u64,
        /// Hash of the backend server's name.
        pub server: u64,
        /// Incarnation that died.
        pub incarnation: u64,
        /// Number of the ticket that had lifted the suspicion before; 0 for none.
        pub lift: u64,
    }

    /// A crash and when it was, on the clock of this process.
    pub struct CrashReport {
        /// What happened.
        pub crash: Crash,
        /// When the backend server died.
        pub at: Instant,
    }
}

impl Crash {
    /// Whether both tell of one death.
    fn is_same(&self, other: &Crash) -> bool {
        let death = |it: &Crash| (it.fingerprint, it.server, it.incarnation);
        death(self) == death(other)
    }
}

impl CrashReport {
    /// The form for peers.
    pub(crate) fn to_wire(self, now: Instant) -> WireCrash {
        let Crash { fingerprint, server, incarnation, lift } = self.crash;
        let age = now.saturating_duration_since(self.at).as_millis() as u64;
        WireCrash(fingerprint, server, incarnation, lift, age)
    }

    /// What a peer tells.
    pub(crate) fn from_wire(wire: &WireCrash, now: Instant) -> CrashReport {
        let WireCrash(fingerprint, server, incarnation, lift, age) = *wire;
        let crash = Crash { fingerprint, server, incarnation, lift };
        let at = now.checked_sub(Duration::from_millis(age));
        CrashReport { crash, at: at.unwrap_or(now) }
    }
}

/// Reports of one request.
type Deaths = SmallVec<[CrashReport; 2]>;

#[derive(Debug, Default)]
struct State {
    /// Reports in the order of their arrival.
    reports: VecDeque<CrashReport>,
    /// Sequence number of the oldest report.
    first: usize,
    /// Reports by fingerprint. Invariant: no death twice, and only what is in
    /// `reports`.
    deaths: HashMap<u64, Deaths>,
    /// Reports for each server and incarnation that died. Invariant: above 0.
    dead: HashMap<(u64, u64), u32>,
    /// Suspects that run here.
    running: HashSet<u64>,
}

impl State {
    /// Adds a report; false when the same or a later one is known.
    fn add(&mut self, report: CrashReport) -> bool {
        let crash = &report.crash;
        let deaths = self.deaths.entry(crash.fingerprint).or_default();
        match deaths.iter_mut().find(|it| it.crash.is_same(crash)) {
            Some(known) if known.crash.lift >= crash.lift => return false,
            Some(known) => *known = report,
            None => deaths.push(report),
        }
        *self.dead.entry((crash.server, crash.incarnation)).or_default() += 1;
        self.reports.push_back(report);
        true
    }

    fn drop_oldest(&mut self) {
        let Some(report) = self.reports.pop_front() else {
            return;
        };
        self.first += 1;
        let Crash { fingerprint, server, incarnation, .. } = report.crash;
        if let Some(deaths) = self.deaths.get_mut(&fingerprint) {
            deaths.retain(|it| *it != report);
            if deaths.is_empty() {
                self.deaths.remove(&fingerprint);
            }
        }
        if let Some(count) = self.dead.get_mut(&(server, incarnation)) {
            *count -= 1;
            if *count == 0 {
                self.dead.remove(&(server, incarnation));
            }
        }
    }
}

/// All crashes known to this router.
#[derive(Debug)]
pub struct CrashTable {
    /// How long a death counts.
    release: Duration,
    state: Mutex<State>,
    /// Whether any crash was ever noted.
    any: AtomicBool,
}

/// A suspect that runs here, until dropped.
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
    /// An empty board; a death counts for the time `release`.
    pub fn new(release: Duration) -> CrashTable {
        CrashTable { release, state: Mutex::default(), any: AtomicBool::new(false) }
    }

    /// Adds a crash seen here or told by a peer; false when it is known already
    /// or no longer counts.
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
        self.any.store(true, Ordering::Release);
        true
    }

    /// Reports from sequence number `from` on, and the number after the last.
    pub fn since(&self, from: usize) -> (Vec<CrashReport>, usize) {
        let state = self.state();
        let known = from.saturating_sub(state.first);
        let reports = state.reports.iter().skip(known).copied().collect();
        (reports, state.first + state.reports.len())
    }

    /// All reports that count.
    pub fn current(&self, now: Instant) -> Vec<CrashReport> {
        if !self.has_reports() {
            return Vec::new();
        }
        let state = self.state();
        state.deaths.values().flatten().filter(|it| self.counts(it, now)).copied().collect()
    }

    /// Backend servers lost to a request that the ticket `lift` has lifted; 0 for
    /// none. Deaths from before that ticket are forgiven.
    pub fn crash_count(&self, fingerprint: u64, lift: u64, now: Instant) -> usize {
        let state = self.state();
        let deaths = state.deaths.get(&fingerprint).into_iter().flatten();
        deaths.filter(|it| it.crash.lift >= lift && self.counts(it, now)).count()
    }

    /// Whether any crash was ever noted.
    pub fn has_reports(&self) -> bool {
        self.any.load(Ordering::Acquire)
    }

    /// Whether this incarnation of a backend server is known to be dead.
    pub fn has_crashed(&self, server: u64, incarnation: u64) -> bool {
        self.has_reports() && self.state().dead.contains_key(&(server, incarnation))
    }

    /// Ids of those of `engines` whose incarnation is known to be dead.
    pub fn crashed_among(&self, engines: &[Engine]) -> SmallVec<[u64; 4]> {
        if !self.has_reports() {
            return SmallVec::new();
        }
        let state = self.state();
        let dead = engines.iter().filter(|it| state.dead.contains_key(&(it.id, it.incarnation)));
        dead.map(|it| it.id).collect()
    }

    /// Notes that a suspect runs here; `None` when it does so already.
    pub fn start_suspect(self: &Arc<CrashTable>, fingerprint: u64) -> Option<RunningSuspect> {
        let fresh = self.state().running.insert(fingerprint);
        fresh.then(|| RunningSuspect { table: Arc::clone(self), fingerprint })
    }

    fn counts(&self, report: &CrashReport, now: Instant) -> bool {
        now.saturating_duration_since(report.at) < self.release
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }
}
