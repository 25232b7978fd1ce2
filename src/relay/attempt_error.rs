//! Why an attempt at a backend server gave no answer for the caller.

use std::fmt;

use crate::decide::Verdict;
use crate::relay::ConnectError;

/// A failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptError {
    /// No connection was established.
    Connect(ConnectError),
    /// The connection was closed before anything was sent.
    Unsent,
    /// The server answered that it did not run the request, as it is full or the
    /// request is late.
    Shed,
    /// Another server uses the address now.
    Misdirected,
    /// The connection ended before the answer was complete.
    Lost,
    /// The bytes received are no valid answer to this request.
    Garbled,
    /// No answer arrived in time.
    TimedOut,
}

impl AttemptError {
    /// Whether the request may have run.
    pub fn verdict(self) -> Verdict {
        match self {
            AttemptError::Connect(_)
            | AttemptError::Unsent
            | AttemptError::Shed
            | AttemptError::Misdirected => Verdict::NotRun,
            AttemptError::Lost | AttemptError::Garbled | AttemptError::TimedOut => {
                Verdict::MayHaveRun
            }
        }
    }

    /// Whether the request may have reached a backend server.
    pub fn has_arrived(self) -> bool {
        !matches!(self, AttemptError::Connect(_) | AttemptError::Unsent)
    }

    /// Name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            AttemptError::Connect(ConnectError::Refused) => "connect_refused",
            AttemptError::Connect(ConnectError::TimedOut) => "connect_timeout",
            AttemptError::Unsent => "unsent",
            AttemptError::Shed => "shed",
            AttemptError::Misdirected => "misdirected",
            AttemptError::Lost => "lost",
            AttemptError::Garbled => "garbled",
            AttemptError::TimedOut => "timeout",
        }
    }
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::error::Error for AttemptError {}
