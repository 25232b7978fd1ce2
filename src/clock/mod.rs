//! Time behind a trait, so that tests can control it.

mod clock;
mod manual;
mod system;

pub use clock::{Clock, SharedClock};
pub use manual::ManualClock;
pub use system::SystemClock;
