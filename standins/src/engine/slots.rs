//! Batch slots of an engine, handed out by priority.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use tokio::sync::oneshot;

/// Waiting requests, highest priority first, then in order of arrival.
type Waiting = BTreeMap<(Reverse<u8>, u64), oneshot::Sender<()>>;

#[derive(Debug)]
struct State {
    free: usize,
    seq: u64,
    waiting: Waiting,
}

/// Slots of one engine.
#[derive(Debug, Clone)]
pub(crate) struct Slots {
    state: Arc<Mutex<State>>,
}

/// One occupied slot; released or passed on when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    slots: Slots,
}

impl Slots {
    pub(crate) fn new(count: usize) -> Slots {
        let state = State { free: count, seq: 0, waiting: BTreeMap::new() };
        Slots { state: Arc::new(Mutex::new(state)) }
    }

    /// Waits for a slot; a higher `priority` is served first.
    pub(crate) async fn acquire(&self, priority: u8) -> Slot {
        let wait = {
            let mut state = self.state.lock().unwrap();
            if state.free > 0 {
                state.free -= 1;
                return Slot { slots: self.clone() };
            }
            let (grant, wait) = oneshot::channel();
            let key = (Reverse(priority), state.seq);
            state.seq += 1;
            state.waiting.insert(key, grant);
            wait
        };
        let _ = wait.await;
        Slot { slots: self.clone() }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.slots.state.lock().unwrap();
        while let Some((_, grant)) = state.waiting.pop_first() {
            if grant.send(()).is_ok() {
                return;
            }
        }
        state.free += 1;
    }
}
