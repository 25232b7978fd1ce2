//! Arguments of the daemon.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Runs a router until it is stopped by a signal.
///
/// Exit codes: 0 stopped, 1 failed or connections were cut off, 2 invalid input.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct DaemonArgs {
    /// Format of log lines: text or json.
    #[bpaf(argument("FORM"), fallback(crate::events::LogFormat::Text), debug_fallback)]
    pub(crate) log_format: crate::events::LogFormat,
    /// The settings file.
    #[bpaf(positional("SETTINGS"))]
    pub(crate) settings: PathBuf,
}
