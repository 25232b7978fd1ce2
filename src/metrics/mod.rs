//! Metrics computed from the state of a router, and histograms and counters of its
//! requests and streams.

mod gauges;
mod requests;
mod streams;
mod thread_time;

pub use gauges::gauges;
pub use requests::RequestMetrics;
pub use streams::StreamMetrics;
pub(crate) use streams::TokenTimer;
pub(crate) use thread_time::{resident_bytes, thread_time};
