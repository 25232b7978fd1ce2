//! Counts concurrent loads from the weight store.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Load counters of all engines that share the store.
#[derive(Debug, Default)]
pub struct WeightStore {
    open: AtomicUsize,
    max_concurrent: AtomicUsize,
    total: AtomicUsize,
}

impl WeightStore {
    /// Counts the start of a load.
    pub(crate) fn begin(&self) {
        let open = self.open.fetch_add(1, Ordering::SeqCst) + 1;
        self.max_concurrent.fetch_max(open, Ordering::SeqCst);
        self.total.fetch_add(1, Ordering::SeqCst);
    }

    /// Counts the end of a load.
    pub(crate) fn end(&self) {
        self.open.fetch_sub(1, Ordering::SeqCst);
    }

    /// Maximum number of loads at the same time so far.
    pub fn max_concurrent(&self) -> usize {
        self.max_concurrent.load(Ordering::SeqCst)
    }

    /// Number of loads started so far.
    pub fn total(&self) -> usize {
        self.total.load(Ordering::SeqCst)
    }
}

impl PartialEq for WeightStore {
    fn eq(&self, other: &WeightStore) -> bool {
        std::ptr::eq(self, other)
    }
}
