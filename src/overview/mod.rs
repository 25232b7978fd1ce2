//! One screen over the fleet.

mod look;
mod screen;

pub use look::Look;
pub use screen::screen;
