//! Backend servers that died while running a request, from all routers.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use smallvec::SmallVec;

/// Crashes remembered at most; later ones are not noted.
const MAX_CRASHES: usize = 4_096;

key! {
    /// A backend server died while it ran a request.
    pub struct Crash {
        /// Fingerprint of the request.
        pub fingerprint: u64,
        /// Hash of the backend server's name.
        pub server: u64,
        /// Incarnation that died.
        pub incarnation: u64,
    }
}

/// Crashes of one request, each with the time of the first look at it.
type Deaths = SmallVec<[(Crash, Option<Instant>); 2]>;

#[derive(Debug, Default)]
struct State {
    /// Invariant: no crash twice; the index is its sequence number.
    crashes: Vec<Crash>,
    known: HashSet<Crash>,
    /// Servers and incarnations that died.
    dead: HashSet<(u64, u64)>,
    /// Crashes by fingerprint.
    deaths: HashMap<u64, Deaths>,
    /// Suspects that run here.
    running: HashSet<u64>,
}

/// All crashes known to this router.
#[derive(Debug, Default)]
pub struct CrashBoard {
    state: Mutex<State>,
    /// Whether any crash was ever noted.
    any: AtomicBool,
}

/// A suspect that runs here, until dropped.
#[derive(Debug)]
pub struct RunningSuspect {
    board: Arc<CrashBoard>,
    fingerprint: u64,
}

impl Drop for RunningSuspect {
    fn drop(&mut self) {
        self.board.state().running.remove(&self.fingerprint);
    }
}

impl CrashBoard {
    /// Adds a crash seen here or told by a peer; false when known already.
    pub fn insert(&self, crash: Crash) -> bool {
        let mut state = self.state();
        if state.crashes.len() >= MAX_CRASHES || !state.known.insert(crash) {
            return false;
        }
        state.crashes.push(crash);
        state.dead.insert((crash.server, crash.incarnation));
        state.deaths.entry(crash.fingerprint).or_default().push((crash, None));
        self.any.store(true, Ordering::Release);
        true
    }

    /// Crashes from sequence number `from` on, for peers.
    pub fn since(&self, from: usize) -> Vec<Crash> {
        let state = self.state();
        state.crashes.iter().skip(from).copied().collect()
    }

    /// Backend servers lost to a request; a loss counts for the time `release`.
    pub fn deaths(&self, fingerprint: u64, now: Instant, release: Duration) -> usize {
        if !self.any.load(Ordering::Acquire) {
            return 0;
        }
        let mut state = self.state();
        let Some(deaths) = state.deaths.get_mut(&fingerprint) else {
            return 0;
        };
        let mut count = 0;
        for (_, at) in deaths {
            let at = *at.get_or_insert(now);
            count += usize::from(now.saturating_duration_since(at) < release);
        }
        count
    }

    /// Whether this incarnation of a backend server is known to be dead.
    pub fn is_dead(&self, server: u64, incarnation: u64) -> bool {
        self.any.load(Ordering::Acquire) && self.state().dead.contains(&(server, incarnation))
    }

    /// Notes that a suspect runs here; `None` when it does so already.
    pub fn begin(self: &Arc<CrashBoard>, fingerprint: u64) -> Option<RunningSuspect> {
        let fresh = self.state().running.insert(fingerprint);
        fresh.then(|| RunningSuspect { board: Arc::clone(self), fingerprint })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }
}
