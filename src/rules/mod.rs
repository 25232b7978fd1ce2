//! The rules by which requests are relayed, set by operators: routes, services,
//! organisations and limits; and the staleness of a router's copy of them.

mod lease;
mod organisation;
mod request_limits;
mod route;
mod rule_set;
mod rules_cell;
mod service;

pub use lease::Lease;
pub use organisation::Organisation;
pub use request_limits::RequestLimits;
pub use route::{Route, RouteKind, Target};
pub use rule_set::{Denied, RuleSet};
pub use rules_cell::RulesCell;
pub use service::{EngineLimits, Service};
