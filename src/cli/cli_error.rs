//! Errors of commands, with their exit codes.

use std::fmt;
use std::process::ExitCode;

/// Why a command failed.
#[derive(Debug, Clone, PartialEq)]
pub enum CliError {
    /// A file or an argument is invalid.
    Input(String),
    /// The command failed while it ran.
    Failed(String),
    /// Some routers were unreachable, or their states differ.
    Partial(String),
}

impl CliError {
    /// Exit code: 1 failed, 2 invalid input, 3 only part of the fleet answered.
    pub fn code(&self) -> ExitCode {
        match self {
            CliError::Failed(_) => ExitCode::from(1),
            CliError::Input(_) => ExitCode::from(2),
            CliError::Partial(_) => ExitCode::from(3),
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CliError::Input(text) | CliError::Failed(text) | CliError::Partial(text) => {
                f.write_str(text)
            }
        }
    }
}

impl std::error::Error for CliError {}
