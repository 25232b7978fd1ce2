//! Errors in a settings file.

use std::fmt;

plain! {
    /// One error in a settings file.
    pub struct Problem {
        /// Key, such as `limits.body`, or line and column when no key is known.
        pub place: String,
        /// What is wrong there.
        pub found: String,
        /// What was expected.
        pub expected: String,
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.place, self.found, self.expected)
    }
}

/// A settings file that cannot be used.
#[derive(Debug)]
pub struct SettingsError {
    /// Path of the file.
    pub file: String,
    /// All errors found in it.
    pub problems: Vec<Problem>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid settings file {}", self.file)?;
        for it in &self.problems {
            write!(f, "\n  {it}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}
