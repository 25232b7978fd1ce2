//! Command lines of both programs.

mod args;
mod check;
mod cli_error;
mod client;
mod daemon;
mod demo;
mod in_force;
mod init;
mod measure;
mod run;
mod spread;
mod standins;
mod ticket;

pub use cli_error::CliError;
pub use daemon::run_daemon;
pub use run::{report, run};
