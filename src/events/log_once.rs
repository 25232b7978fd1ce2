//! Lines that are logged once.

use std::sync::atomic::{AtomicBool, Ordering};

/// Whether something was logged before.
#[derive(Debug, Default)]
pub(crate) struct LogOnce(AtomicBool);

impl LogOnce {
    /// Whether to log it: true the first time.
    pub fn is_first(&self) -> bool {
        !self.0.swap(true, Ordering::Relaxed)
    }
}
