//! Backend servers that died while running a request, from all routers.

use std::collections::HashMap;
use std::sync::Mutex;

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

#[derive(Debug, Default)]
struct State {
    /// Invariant: no crash twice; the index is its sequence number.
    crashes: Vec<Crash>,
    known: HashMap<Crash, usize>,
}

/// All crashes known to this router.
#[derive(Debug, Default)]
pub struct CrashBoard {
    state: Mutex<State>,
}

impl CrashBoard {
    /// Adds a crash seen here or told by a peer; false when known already.
    pub fn insert(&self, crash: Crash) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.known.contains_key(&crash) {
            return false;
        }
        let seq = state.crashes.len();
        state.known.insert(crash, seq);
        state.crashes.push(crash);
        true
    }

    /// Crashes from sequence number `from` on, for peers.
    pub fn since(&self, from: usize) -> Vec<Crash> {
        let state = self.state.lock().unwrap();
        state.crashes.iter().skip(from).copied().collect()
    }
}
