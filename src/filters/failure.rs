//! Failed attempts.

use crate::decide::FailurePoint;
use crate::filters::{Reason, Refusal};

plain! {
    /// An attempt without a complete answer.
    pub(crate) struct Failure {
        /// Where it failed.
        pub(crate) point: FailurePoint,
        /// Details for humans.
        pub(crate) message: String,
    }
}

impl Failure {
    /// A failure at `point`.
    pub(crate) fn new(point: FailurePoint, message: impl Into<String>) -> Failure {
        Failure { point, message: message.into() }
    }

    /// A failure of the HTTP client before the head of the answer arrived.
    pub(crate) fn of_send(error: &reqwest::Error) -> Failure {
        let point = match error {
            it if it.is_connect() => FailurePoint::Connect,
            it if it.is_builder() => FailurePoint::Unsent,
            it if it.is_timeout() => FailurePoint::Timeout,
            _ => FailurePoint::Exchange,
        };
        Failure::new(point, crate::backend::error_text(error))
    }

    /// A failure of the HTTP client after the head of the answer arrived.
    pub(crate) fn of_body(error: &reqwest::Error) -> Failure {
        let point = if error.is_timeout() { FailurePoint::Timeout } else { FailurePoint::Body };
        Failure::new(point, crate::backend::error_text(error))
    }

    /// The refusal that reports this failure to the caller.
    pub(crate) fn refusal(&self) -> Refusal {
        let reason = match self.point {
            FailurePoint::Resolve => Reason::NoRoom,
            FailurePoint::Unsent | FailurePoint::Timeout => Reason::DeadlinePassed,
            FailurePoint::Rejected => Reason::BadRequest,
            _ => Reason::BackendFailed,
        };
        Refusal { verdict: self.point.verdict(), ..Refusal::not_run(reason, &self.message) }
    }
}
