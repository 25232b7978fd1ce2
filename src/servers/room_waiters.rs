//! Requests that wait in this router until a backend server has room for them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use prometheus::IntGauge;
use smallvec::SmallVec;
use tokio::sync::Notify;

use crate::decide::{Lane, WaitKey, WaitQueue};

/// Limit on the waiting requests.
const MAX_REQUESTS: i64 = 1_024;
/// Limit on the bodies that they hold, in bytes.
const MAX_BYTES: usize = 8 * 1024 * 1024;
/// Requests woken when there may be room for one: the first may need a certain server.
const WOKEN: usize = 2;

#[derive(Debug, Default)]
struct Waiting {
    /// By hash of the service.
    queues: HashMap<u64, WaitQueue<Arc<Notify>>>,
    /// Bodies of all that wait.
    bytes: usize,
}

/// The waiting requests of a router. Only those that are woken select servers again, so that
/// nothing is polled.
#[derive(Debug)]
pub struct RoomWaiters {
    /// Number of waiting requests, the ones included that were woken and may have to go on.
    count: IntGauge,
    waiting: Mutex<Waiting>,
    /// How often there may have been room.
    changes: AtomicU64,
}

impl RoomWaiters {
    /// No requests; `count` shows how many wait.
    pub fn new(count: IntGauge) -> RoomWaiters {
        RoomWaiters { count, waiting: Mutex::default(), changes: AtomicU64::new(0) }
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.count.get() == 0
    }

    /// Changes whenever a server may have got room.
    pub fn changes(&self) -> u64 {
        self.changes.load(Ordering::Relaxed)
    }

    /// Number of requests for `service` that go before a new one of `organisation` in `lane`.
    pub fn ahead(&self, service: u64, lane: Lane, organisation: u64) -> usize {
        let waiting = self.waiting.lock().unwrap();
        waiting.queues.get(&service).map_or(0, |it| it.ahead(lane, organisation))
    }

    /// Whether requests for `service` wait that go before a new one in `lane`.
    pub fn goes_after(&self, service: u64, lane: Lane) -> bool {
        if self.is_empty() {
            return false;
        }
        let waiting = self.waiting.lock().unwrap();
        waiting.queues.get(&service).is_some_and(|it| it.goes_after(lane))
    }

    /// Adds a request for `service` with a body of `bytes`; `None` if no more may wait.
    pub fn enter(
        self: &Arc<RoomWaiters>,
        service: u64,
        lane: Lane,
        organisation: u64,
        bytes: usize,
    ) -> Option<WaitingPlace> {
        let mut waiting = self.waiting.lock().unwrap();
        if self.count.get() >= MAX_REQUESTS || waiting.bytes + bytes > MAX_BYTES {
            return None;
        }
        self.count.inc();
        waiting.bytes += bytes;
        let notify = Arc::new(Notify::new());
        let queue = waiting.queues.entry(service).or_default();
        let key = queue.push(lane, organisation, Arc::clone(&notify));
        let waiters = Arc::clone(self);
        Some(WaitingPlace { waiters, service, key, organisation, bytes, notify })
    }

    /// Wakes the next requests for `service`, as a server may have room.
    pub fn wake(&self, service: u64) {
        self.changes.fetch_add(1, Ordering::Relaxed);
        if !self.is_empty() {
            let mut waiting = self.waiting.lock().unwrap();
            if let Some(queue) = waiting.queues.get_mut(&service) {
                wake_next(queue);
            }
        }
    }

    /// Wakes the next requests for each service.
    pub fn wake_services(&self) {
        self.changes.fetch_add(1, Ordering::Relaxed);
        if !self.is_empty() {
            self.waiting.lock().unwrap().queues.values_mut().for_each(wake_next);
        }
    }

    /// Wakes all requests.
    pub fn wake_all(&self) {
        self.changes.fetch_add(1, Ordering::Relaxed);
        let mut waiting = self.waiting.lock().unwrap();
        for queue in waiting.queues.values_mut() {
            while let Some(it) = queue.pop() {
                it.notify_one();
            }
        }
    }

    /// Ends the wait of a request, and wakes the next ones.
    fn leave(&self, place: &WaitingPlace) {
        let mut waiting = self.waiting.lock().unwrap();
        waiting.bytes -= place.bytes;
        if let Some(queue) = waiting.queues.get_mut(&place.service) {
            queue.remove(place.key);
            wake_next(queue);
        }
        self.count.dec();
    }
}

fn wake_next(queue: &mut WaitQueue<Arc<Notify>>) {
    let next: SmallVec<[_; WOKEN]> = (0..WOKEN).map_while(|_| queue.pop()).collect();
    for it in next {
        it.notify_one();
    }
}

/// The place of a request that waits. Dropping it ends the wait.
#[derive(Debug)]
pub struct WaitingPlace {
    waiters: Arc<RoomWaiters>,
    service: u64,
    key: WaitKey,
    organisation: u64,
    bytes: usize,
    notify: Arc<Notify>,
}

impl WaitingPlace {
    /// Completes when the request should select a server again; it may find none then.
    pub async fn woken(&self) {
        self.notify.notified().await;
    }

    /// Waits again in the same place, after the request found no room.
    pub fn restore(&self) {
        let mut waiting = self.waiters.waiting.lock().unwrap();
        let queue = waiting.queues.entry(self.service).or_default();
        queue.restore(self.key, self.organisation, Arc::clone(&self.notify));
    }
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        self.waiters.leave(self);
    }
}

/// Tells the waiting requests for a service that a server has room.
#[derive(Debug, Clone)]
pub struct RoomSignal {
    /// The requests.
    pub waiters: Arc<RoomWaiters>,
    /// Hash of the service.
    pub service: u64,
}

impl RoomSignal {
    /// Wakes the next requests.
    pub fn send(&self) {
        self.waiters.wake(self.service);
    }
}
