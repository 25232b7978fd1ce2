//! What is wrong with settings.

use std::fmt;

plain! {
    /// One problem.
    pub struct Problem {
        /// Where: `limits.body`, or line and column where no key is known.
        pub place: String,
        /// What was found.
        pub found: String,
        /// What is allowed.
        pub allowed: String,
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.place, self.found, self.allowed)
    }
}

/// Settings that cannot be used.
#[derive(Debug)]
pub struct SettingsError {
    /// The file.
    pub file: String,
    /// Everything that is wrong with it.
    pub problems: Vec<Problem>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings in {} cannot be used", self.file)?;
        for it in &self.problems {
            write!(f, "\n  {it}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}
