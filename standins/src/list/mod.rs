//! Instance list: which instances are live or leaving, reported with a lag.

mod entry;
mod list;

pub use entry::{Entry, InstanceState, Role};
pub use list::{Faults, InstanceList};
