//! A whole fleet with stand-ins in one process, for the demonstration and for
//! tests of several routers at once.

mod caller;
mod fleet;
mod fleet_options;
mod report;
mod story;
mod traffic;

pub(crate) use caller::send_fault;
pub use caller::{Ask, Caller, NOT_CONNECTED, prompt};
pub use fleet::{DemoError, Fleet};
pub use fleet_options::FleetOptions;
pub use report::Report;
pub use story::Story;
pub use traffic::{Outcome, run_traffic};
