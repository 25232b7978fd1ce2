//! What is wrong with a trace.

use std::fmt;

plain! {
    /// A trace that cannot be replayed.
    pub struct TraceError {
        /// Line, from 1; 0 for the trace as a whole.
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
