//! Once-only calls: the ledger of this router and the claims in the log.

mod appender;
mod desk;
mod kept;
mod tail;

pub use desk::{OnceDesk, Settled};
pub use kept::KeptAnswer;
pub use tail::CLAIM_STREAM;

pub(crate) use appender::append_claims;
pub(crate) use tail::tail_claims;
