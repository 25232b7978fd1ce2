//! Result of a soak of one seed.

use std::fmt;

/// The result of one seed.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Number of requests that callers sent.
    pub requests: usize,
    /// Number of these with a complete successful answer.
    pub served: usize,
    /// Number of streams that callers took up.
    pub taken_up: usize,
    /// Number of these that went on.
    pub went_on: usize,
    /// Violated guarantees, one line each.
    pub violations: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { seed, requests, served, taken_up, went_on, violations } = self;
        write!(f, "seed {seed}: {served} of {requests} served, ")?;
        if *taken_up > 0 {
            write!(f, "{went_on} of {taken_up} streams taken up went on, ")?;
        }
        write!(f, "{} broken", violations.len())?;
        for line in violations.iter().take(10) {
            write!(f, "\n  {line}")?;
        }
        Ok(())
    }
}
