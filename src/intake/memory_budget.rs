//! A limit on bytes that are held.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Bytes that are held, and their limit.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    used: AtomicUsize,
    /// Notified when bytes are released.
    released: Notify,
}

impl MemoryBudget {
    /// A budget of which nothing is used.
    pub fn new(limit: usize) -> MemoryBudget {
        MemoryBudget { limit, used: AtomicUsize::new(0), released: Notify::new() }
    }

    /// Bytes that are held.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Bytes that may be held.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Reserves bytes; `None` if they exceed what is left.
    pub fn reserve(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let add = |used: usize| used.checked_add(bytes).filter(|it| *it <= self.limit);
        let added = self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        added.ok().map(|_| Reservation { budget: Arc::clone(self), bytes })
    }

    /// Counts bytes that are held already, beyond the limit too.
    pub fn add(&self, bytes: usize) {
        self.used.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts bytes as released.
    pub fn release(&self, bytes: usize) {
        if bytes > 0 {
            self.used.fetch_sub(bytes, Ordering::Relaxed);
            self.released.notify_waiters();
        }
    }

    /// Waits until bytes are released.
    pub async fn until_released(&self) {
        self.released.notified().await;
    }
}

/// Bytes of a budget; released when dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl Reservation {
    /// How many bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}
