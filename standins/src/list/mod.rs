//! Instance list: who is live and who is leaving, told with a lag.

mod entry;
mod list;

pub use entry::{Entry, InstanceState, Role};
pub use list::{Faults, InstanceList};
