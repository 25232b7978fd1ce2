//! Counts the loads from the weight store.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Loads of all engines that share it.
#[derive(Debug, Default)]
pub struct WeightStore {
    open: AtomicUsize,
    max_concurrent: AtomicUsize,
    total: AtomicUsize,
}

impl WeightStore {
    /// A load begins.
    pub(crate) fn begin(&self) {
        let open = self.open.fetch_add(1, Ordering::SeqCst) + 1;
        self.max_concurrent.fetch_max(open, Ordering::SeqCst);
        self.total.fetch_add(1, Ordering::SeqCst);
    }

    /// A load ends.
    pub(crate) fn end(&self) {
        self.open.fetch_sub(1, Ordering::SeqCst);
    }

    /// Most loads at the same time so far.
    pub fn max_concurrent(&self) -> usize {
        self.max_concurrent.load(Ordering::SeqCst)
    }

    /// Loads begun so far.
    pub fn total(&self) -> usize {
        self.total.load(Ordering::SeqCst)
    }
}

impl PartialEq for WeightStore {
    fn eq(&self, other: &WeightStore) -> bool {
        std::ptr::eq(self, other)
    }
}
