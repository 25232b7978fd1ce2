//! The gate in front of each pool: requests wait here when there is no room.

mod gate;
mod gates;
mod pass;

pub use gate::{Demand, Gate};
pub use gates::{Gates, PoolFigures};
pub use pass::Pass;
