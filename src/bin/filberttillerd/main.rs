//! The router daemon.

use std::process::ExitCode;

use filberttiller::cli;

fn main() -> ExitCode {
    cli::report(cli::run_daemon())
}
