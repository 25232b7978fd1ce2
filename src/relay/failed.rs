//! Why one try at a backend server brought no answer for the caller.

use std::fmt;

use crate::decide::Verdict;
use crate::relay::ConnectError;

/// A failed try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failed {
    /// No connection.
    Connect(ConnectError),
    /// The connection was gone before anything was sent.
    Unsent,
    /// The server says that it did not run the request, as it is full or late.
    Shed,
    /// Another server has the address.
    Misdirected,
    /// The connection ended before the answer did.
    Lost,
    /// What came is no answer to this request.
    Garbled,
    /// No answer in time.
    Silent,
}

impl Failed {
    /// Whether the request may have run.
    pub fn verdict(self) -> Verdict {
        match self {
            Failed::Connect(_) | Failed::Unsent | Failed::Shed | Failed::Misdirected => {
                Verdict::NotRun
            }
            Failed::Lost | Failed::Garbled | Failed::Silent => Verdict::MayHaveRun,
        }
    }

    /// Whether the request reached a backend server, as far as can be known.
    pub fn arrived(self) -> bool {
        !matches!(self, Failed::Connect(_) | Failed::Unsent)
    }

    /// Name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Failed::Connect(ConnectError::Refused) => "connect_refused",
            Failed::Connect(ConnectError::Silent) => "connect_timeout",
            Failed::Unsent => "unsent",
            Failed::Shed => "shed",
            Failed::Misdirected => "misdirected",
            Failed::Lost => "lost",
            Failed::Garbled => "garbled",
            Failed::Silent => "timeout",
        }
    }
}

impl fmt::Display for Failed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::error::Error for Failed {}
