//! The operators' program.

use std::process::ExitCode;

use filberttiller::cli;
use peak_alloc::PeakAlloc;

/// Counts the heap, for `filberttiller capacity --measure`.
#[global_allocator]
static HEAP: PeakAlloc = PeakAlloc;

fn main() -> ExitCode {
    cli::report(cli::run())
}
