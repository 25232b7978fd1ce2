//! The clock interface.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

/// Source of the time.
pub trait Clock: Debug + Send + Sync {
    /// Monotonic time of this process.
    fn now(&self) -> Instant;

    /// Wall-clock time; may jump and may differ between instances.
    fn wall(&self) -> SystemTime;

    /// Time since the machine started, including time in suspension.
    fn boot(&self) -> Duration;
}

/// A clock shared by many tasks.
pub type SharedClock = Arc<dyn Clock>;
