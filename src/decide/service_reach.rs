//! Whether a router reaches the backend servers of a service at all.

use smallvec::SmallVec;

/// Number of servers that cannot be connected to, with no success in between, from which on the
/// router may be cut off.
const MIN_FAILED: usize = 3;
/// Share of the probed servers up to which the router is cut off: a few may be reached throughout.
const CUT_OFF_SHARE: f64 = 0.2;
/// Share of the probed servers above which it is not cut off any more.
const REACHED_SHARE: f64 = 0.5;

key! {
    /// Whether the servers of a service are reached.
    #[derive(Default)]
    pub enum ReachState {
        /// Some are.
        #[default]
        Reached,
        /// Several could not be connected to, so that others are to be probed: either the router is
        /// cut off, or these servers went at the same moment.
        Suspected,
        /// None is, or so few that other routers serve better.
        CutOff,
    }
}

key! {
    /// A change of the state.
    pub struct ReachChange {
        /// The former state.
        pub from: ReachState,
        /// The state now.
        pub to: ReachState,
    }
}

/// What the new connections of a router to the servers of one service show. Open connections
/// show nothing, as they may live on while new ones are refused.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceReach {
    /// Servers that could not be connected to since the last success. Invariant: distinct, at
    /// most `MIN_FAILED`.
    failed: SmallVec<[u64; MIN_FAILED]>,
    state: ReachState,
}

impl ServiceReach {
    /// Whether the servers are reached.
    pub fn state(&self) -> ReachState {
        self.state
    }

    /// Whether the router is cut off from all servers of the service.
    pub fn is_cut_off(&self) -> bool {
        self.state == ReachState::CutOff
    }

    /// Whether servers are to be probed.
    pub fn needs_probe(&self) -> bool {
        self.state != ReachState::Reached
    }

    /// Records that a server was connected to; returns the change, if there is one.
    pub fn record_connected(&mut self) -> Option<ReachChange> {
        self.failed.clear();
        self.set(ReachState::Reached)
    }

    /// Records that the server with the hash `server`, one of `count`, could not be connected
    /// to; returns the change, if there is one.
    pub fn record_unconnected(&mut self, server: u64, count: usize) -> Option<ReachChange> {
        if self.state != ReachState::Reached || self.failed.contains(&server) {
            return None;
        }
        self.failed.push(server);
        match self.failed.len() {
            failed if failed >= count => self.set(ReachState::CutOff),
            MIN_FAILED.. => self.set(ReachState::Suspected),
            _ => None,
        }
    }

    /// Records that `reached` of `probed` servers could be connected to; returns the change,
    /// if there is one.
    pub fn record_probes(&mut self, reached: usize, probed: usize) -> Option<ReachChange> {
        if probed == 0 {
            // A service without servers cannot be reached from other routers either.
            return self.record_connected();
        }
        let share = reached as f64 / probed as f64;
        match self.state {
            ReachState::Reached => None,
            ReachState::Suspected if share <= CUT_OFF_SHARE => self.set(ReachState::CutOff),
            ReachState::CutOff if share <= REACHED_SHARE => None,
            ReachState::Suspected | ReachState::CutOff => self.record_connected(),
        }
    }

    fn set(&mut self, to: ReachState) -> Option<ReachChange> {
        let from = std::mem::replace(&mut self.state, to);
        (from != to).then_some(ReachChange { from, to })
    }
}
