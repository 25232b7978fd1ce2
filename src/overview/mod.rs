//! One screen over the fleet.

mod fleet_status;
mod screen;

pub use fleet_status::FleetStatus;
pub use screen::screen;
