//! At-most-once calls: the ledger of this router and the claims in the log.

mod appender;
mod once_coordinator;
mod stored_answer;
mod tail;

pub use once_coordinator::{ClaimOutcome, OnceCoordinator};
pub use stored_answer::StoredAnswer;
pub use tail::CLAIM_STREAM;

pub(crate) use appender::append_claims;
pub(crate) use tail::tail_claims;
