//! At-most-once calls without a consensus group: which router may run a call under an
//! idempotency key, and how a repeated call is answered.
//!
//! Every key has one owner, an incarnation of one router: the one that issued
//! the key, or the one whose claim comes first in the log. Only the owner runs
//! a call under the key, and its ledger lets it run once. docs/ONCE.md argues
//! why that is enough.

mod append_limiter;
mod claims;
mod ledger;
mod op;
mod route;

pub use append_limiter::AppendLimiter;
pub use claims::{Claim, ClaimIndex, ClaimRecord, stays_owner};
pub use ledger::{Admission, Ledger, LedgerLimits, RunOutcome};
pub use op::{Op, Owner, Scope};
pub use route::{Holder, Route, route};
