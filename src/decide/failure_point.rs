//! Where an attempt can fail, and what that implies about its effect.

use crate::decide::Verdict;

key! {
    /// The point at which an attempt of a request failed; docs/ANSWERS.md lists them.
    pub enum FailurePoint {
        /// No backend server is known, or none takes work.
        Resolve,
        /// The deadline passed before anything was sent.
        Unsent,
        /// No connection was established.
        Connect,
        /// The connection broke after sending began and before the response head arrived.
        Exchange,
        /// The backend server refused the request before it began, in the documented form.
        Refused,
        /// The backend server responded with an error.
        Failed,
        /// The backend server responded that the request is malformed.
        Rejected,
        /// The response body ended before its full length.
        Body,
        /// The response is malformed, or belongs to another request.
        Mismatch,
        /// The deadline passed after sending began.
        Timeout,
    }
}

impl FailurePoint {
    /// Returns what is known about the effect of an attempt that failed here.
    ///
    /// Once the first byte may have been sent, the verdict is `NotRun` only if the
    /// backend server itself reported that.
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

    /// Whether the attempt may have cost the backend server work.
    pub fn reached_server(self) -> bool {
        !matches!(self, FailurePoint::Resolve | FailurePoint::Unsent | FailurePoint::Connect)
    }

    /// Whether another attempt could succeed.
    pub fn retry_may_succeed(self) -> bool {
        self != FailurePoint::Rejected
    }
}
