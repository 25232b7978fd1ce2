//! Where a request can fail, and what that says about its effect.

use crate::decide::Verdict;

key! {
    /// The point at which a try of a request failed; docs/ANSWERS.md lists them.
    pub enum FailurePoint {
        /// No backend server is known or takes work.
        Resolve,
        /// The deadline passed before anything was sent.
        Unsent,
        /// No connection came about.
        Connect,
        /// The connection broke after sending began and before the answer's head.
        Exchange,
        /// The backend server refused before it began, in the documented form.
        Refused,
        /// The backend server answered with an error.
        Failed,
        /// The backend server answered that the request has a wrong form.
        Rejected,
        /// The answer ended before its whole length.
        Body,
        /// The answer is of a wrong form, or to another request.
        Mismatch,
        /// The deadline passed after sending began.
        Timeout,
    }
}

impl FailurePoint {
    /// What is known about the effect of a try that failed here.
    ///
    /// Nothing is `NotRun` once the first byte may have left, unless the
    /// backend server itself said so.
    pub fn verdict(self) -> Verdict {
        match self {
            FailurePoint::Resolve
            | FailurePoint::Unsent
            | FailurePoint::Connect
            | FailurePoint::Refused => Verdict::NotRun,
            FailurePoint::Exchange
            | FailurePoint::Failed
            | FailurePoint::Rejected
            | FailurePoint::Body
            | FailurePoint::Mismatch
            | FailurePoint::Timeout => Verdict::MayHaveRun,
        }
    }

    /// Whether the try may have cost the backend server work.
    pub fn reached_server(self) -> bool {
        !matches!(self, FailurePoint::Resolve | FailurePoint::Unsent | FailurePoint::Connect)
    }

    /// Whether another try could end better.
    pub fn retry_may_succeed(self) -> bool {
        self != FailurePoint::Rejected
    }
}
