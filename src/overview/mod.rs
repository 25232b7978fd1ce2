//! State of the whole fleet, for one screen.

mod fleet_status;
mod screen;

pub use fleet_status::FleetStatus;
pub use screen::screen;
