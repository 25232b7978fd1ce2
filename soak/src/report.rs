//! What a soak of one seed found.

use std::fmt;

/// The result of one seed.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Requests that callers sent.
    pub requests: usize,
    /// Of these, answered with success, whole.
    pub served: usize,
    /// Promises that were broken, one line each.
    pub broken: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { seed, requests, served, broken } = self;
        write!(f, "seed {seed}: {served} of {requests} served, {} broken", broken.len())?;
        for line in broken.iter().take(10) {
            write!(f, "\n  {line}")?;
        }
        Ok(())
    }
}
