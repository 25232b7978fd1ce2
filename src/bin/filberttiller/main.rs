//! Command-line program for operators.

use std::process::ExitCode;

use filberttiller::cli;
use peak_alloc::PeakAlloc;

/// Counts heap use, for `filberttiller capacity --measure`.
#[global_allocator]
static HEAP: PeakAlloc = PeakAlloc;

fn main() -> ExitCode {
    cli::report(cli::run())
}
