//! Arguments of the daemon.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Arguments of the daemon.
///
/// Exit codes: 0 stopped with nothing cut off, 1 failed or cut off, 2 wrong input.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct DaemonArgs {
    /// Form of log lines: text or json.
    #[bpaf(argument("FORM"), fallback(crate::events::LogFormat::Text), debug_fallback)]
    pub(crate) log_format: crate::events::LogFormat,
    /// The settings file.
    #[bpaf(positional("SETTINGS"))]
    pub(crate) settings: PathBuf,
}
