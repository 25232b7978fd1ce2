//! What is known on whether a request ran.

use std::fmt;

key! {
    /// What is known about the effect of a request on backend servers.
    pub enum Verdict {
        /// No backend server ran any of it; a retry is safe.
        NotRun,
        /// It may have run, completely or in part.
        MayHaveRun,
        /// It ran to completion.
        Ran,
    }
}

impl Verdict {
    /// Returns the name used on the wire and in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not_run",
            Verdict::MayHaveRun => "may_have_run",
            Verdict::Ran => "ran",
        }
    }

    /// Combines the verdicts of two failed attempts of one request: it is `NotRun` only
    /// if neither attempt ran.
    pub fn and(self, other: Verdict) -> Verdict {
        if self == other { self } else { Verdict::MayHaveRun }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
