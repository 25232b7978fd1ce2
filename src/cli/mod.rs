//! Command lines of both programs.

#[cfg(feature = "trial")]
mod args;
#[cfg(feature = "trial")]
mod capacity;
mod check;
mod cli_error;
#[cfg(feature = "trial")]
mod client;
mod daemon;
mod daemon_args;
#[cfg(feature = "trial")]
mod demo;
#[cfg(feature = "trial")]
mod in_force;
#[cfg(feature = "trial")]
mod init;
#[cfg(feature = "trial")]
mod load;
#[cfg(feature = "trial")]
mod logs;
#[cfg(feature = "trial")]
mod measure;
mod report;
#[cfg(feature = "trial")]
mod run;
#[cfg(feature = "trial")]
mod spread;
#[cfg(feature = "trial")]
mod standins;
#[cfg(feature = "trial")]
mod status;
#[cfg(feature = "trial")]
mod ticket;
#[cfg(feature = "trial")]
mod timeline;

pub use cli_error::CliError;
pub use daemon::run_daemon;
pub use report::report;
#[cfg(feature = "trial")]
pub use run::run;
