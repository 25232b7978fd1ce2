//! Admission: which requests may proceed when the engines lack capacity.

mod fair_queue;
mod rate_limit;
mod router_capacity;

pub use fair_queue::{FairQueue, PushResult, QueueLimits, QueuedRequest};
pub use rate_limit::{RateLimit, rate_share};
pub use router_capacity::{PoolUsage, router_capacity};
