//! The error for an invalid trace.

use std::fmt;

plain! {
    /// A trace that cannot be replayed.
    pub struct TraceError {
        /// Number of the line, from 1; 0 for the entire trace.
        pub line: usize,
        /// What is wrong there.
        pub fault: String,
    }
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "trace: {}", self.fault),
            line => write!(f, "trace line {line}: {}", self.fault),
        }
    }
}

impl std::error::Error for TraceError {}
