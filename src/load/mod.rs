//! A bounded load generator for a running fleet.

mod addresses;
mod dispatch;
mod html;
mod options;
mod report;
mod schedule;
mod tally;
mod visit;

pub use dispatch::run;
pub use html::html;
pub use options::{LoadOptions, OptionsError};
pub use report::{LoadReport, Quantiles, Second};
pub use schedule::{Kind, Schedule, Step};
pub use tally::{Fate, Tally};
