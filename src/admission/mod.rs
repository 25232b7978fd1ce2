//! Admission control: limits the requests in flight at each pool, with a fair queue
//! for those that wait.

mod admission_control;
mod permit;
mod pool_limiter;

pub use admission_control::{AdmissionControl, PoolLoad};
pub use permit::Permit;
pub use pool_limiter::{AdmissionRequest, PoolLimiter};
