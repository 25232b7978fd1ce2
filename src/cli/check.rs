//! `filberttiller check`.

use std::path::Path;

use crate::cli::CliError;
use crate::settings::{self, Settings};

/// Checks a settings file.
#[cfg(feature = "trial")]
pub(crate) fn run(file: &Path) -> Result<(), CliError> {
    let settings = read(file)?;
    println!("{}: settings of `{}` are valid", file.display(), settings.name);
    Ok(())
}

/// Reads a settings file for a command.
pub(crate) fn read(file: &Path) -> Result<Settings, CliError> {
    settings::read(file).map_err(|e| CliError::Input(e.current_context().to_string()))
}
