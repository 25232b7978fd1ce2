//! A complete fleet with stand-ins in one process, for the demonstration and for
//! tests with several routers.

mod caller;
mod fleet;
mod fleet_options;
mod report;
mod timeline_check;
mod traffic;

pub(crate) use caller::send_fault;
pub use caller::{Caller, ChatTurn, NOT_CONNECTED_PREFIX, prompt};
pub use fleet::{DemoError, Fleet};
pub use fleet_options::FleetOptions;
pub use report::DemoReport;
pub use timeline_check::TimelineCheck;
pub use traffic::{TrafficResult, run_traffic};
