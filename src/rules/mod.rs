//! The rules by which requests are relayed, set by operators: routes, services,
//! organisations, limits and evacuated failure domains; and the staleness of a router's copy of them.

mod evacuations;
mod lease;
mod operator_page;
mod organisation;
mod request_limits;
mod route;
mod rule_set;
mod rules_cell;
mod service;

pub use evacuations::{EvacuatedDomains, EvacuationChange, EvacuationMerge, Evacuations};
pub use lease::Lease;
pub use operator_page::OperatorPage;
pub use organisation::Organisation;
pub use request_limits::RequestLimits;
pub use route::{Route, RouteKind, Target};
pub use rule_set::{Denied, RuleSet};
pub use rules_cell::RulesCell;
pub use service::{EngineLimits, Service};
