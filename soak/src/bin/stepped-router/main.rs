//! The router for the users' platform, with a clock that the soak can step.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use soak::SteppedClock;

fn main() -> ExitCode {
    let settings = std::env::args_os().nth(1).map(PathBuf::from).unwrap_or_default();
    filberttiller_platform::run(Arc::new(SteppedClock::beside(&settings)))
}
