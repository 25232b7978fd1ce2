//! Replay of traces through the real decisions, in virtual time.
//!
//! Several routers with views of their own place the requests of a trace on
//! engines that are modelled by slots, a queue and a prefix cache.

mod engine_model;
mod figures;
mod generate;
mod policy;
mod prefix_cache;
mod replay;
mod replay_requests;
mod report;
mod router_model;
mod trace;
mod trace_error;

pub use engine_model::{EngineModel, Job};
pub use figures::Figures;
pub use generate::{SHAPES, Shape, generate};
pub use policy::{POLICIES, Policy, policy};
pub use prefix_cache::PrefixCache;
pub use replay::replay;
pub use report::{Row, measure, table};
pub use router_model::RouterModel;
pub use trace::{Head, Line, Step, Trace, TraceRequest, parse_trace, write_trace};
pub use trace_error::TraceError;
