//! A bounded load generator for a running fleet.

mod addresses;
mod dispatch;
mod html;
mod load_stats;
mod options;
mod report;
mod request;
mod schedule;

pub use dispatch::run;
pub use html::html;
pub use load_stats::{LoadStats, RequestOutcome};
pub use options::{LoadOptions, OptionsError};
pub use report::{LoadReport, Quantiles, Second};
pub use schedule::{Kind, Schedule, ScheduledRequest};
