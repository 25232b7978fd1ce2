//! Time as an interface, so that tests can drive it.

mod clock;
mod manual;
mod system;

pub use clock::{Clock, SharedClock};
pub use manual::ManualClock;
pub use system::SystemClock;
