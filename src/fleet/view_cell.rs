//! The current view, published by control and read by traffic.

use std::sync::Arc;

use arc_swap::{ArcSwap, Guard};

use crate::fleet::View;

/// Holds the current view; reading takes no lock.
#[derive(Debug, Default)]
pub struct ViewCell {
    current: ArcSwap<View>,
}

impl ViewCell {
    /// The current view, for a short read; the guard must not be kept for long.
    pub fn peek(&self) -> Guard<Arc<View>> {
        self.current.load()
    }

    /// The current view, to keep while a request runs.
    pub fn load(&self) -> Arc<View> {
        self.current.load_full()
    }

    /// Replaces the view.
    pub fn store(&self, view: View) {
        self.current.store(Arc::new(view));
    }
}
