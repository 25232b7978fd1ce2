//! `filberttiller init`.

use crate::cli::CliError;
use crate::settings::DEFAULT_TEXT;

/// Prints the commented settings file.
pub(crate) fn run() -> Result<(), CliError> {
    print!("{DEFAULT_TEXT}");
    Ok(())
}
