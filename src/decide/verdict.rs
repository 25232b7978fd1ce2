//! Whether a request may have run.

use std::fmt;

key! {
    /// What is known about the effect of a request on backend servers.
    pub enum Verdict {
        /// No backend server ran any of it; sending it again is safe.
        NotRun,
        /// It may have run, in whole or in part.
        MayHaveRun,
        /// It ran to its end.
        Ran,
    }
}

impl Verdict {
    /// The name used on the wire and in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not_run",
            Verdict::MayHaveRun => "may_have_run",
            Verdict::Ran => "ran",
        }
    }

    /// The verdict over two failed tries of one request: only when neither ran
    /// did the request not run.
    pub fn and(self, other: Verdict) -> Verdict {
        if self == other { self } else { Verdict::MayHaveRun }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
