//! Metrics that are read from the state of a router, or kept beside its counters.

mod gauges;
mod requests;

pub use gauges::gauges;
pub use requests::RequestMetrics;
