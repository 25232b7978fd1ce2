//! Exit of a program.

use std::process::ExitCode;

use crate::cli::CliError;

/// Prints the error, if any, and returns the exit code.
pub fn report(result: Result<(), CliError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e}");
            e.code()
        }
    }
}
