//! Command-line interfaces of the operators' program and the daemon.

mod check;
mod cli_error;
mod daemon;
mod daemon_args;
#[cfg(feature = "trial")]
mod operator;
mod report;

pub use cli_error::CliError;
pub use daemon::run_daemon;
#[cfg(feature = "trial")]
pub use operator::run;
pub use report::report;
