//! Runs seeds of the soak and prints their reports.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use soak::{Options, Programs, run};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinSet;

/// Runs real routers under random faults. Exit code 1 when a guarantee was violated.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// First seed.
    #[bpaf(argument("SEED"), fallback(1))]
    first: u64,
    /// Number of seeds.
    #[bpaf(argument("COUNT"), fallback(1))]
    seeds: u64,
    /// Seeds run at the same time.
    #[bpaf(argument("COUNT"), fallback(2))]
    jobs: usize,
    /// Time of faults for each seed, in seconds.
    #[bpaf(argument("SECONDS"), fallback(12))]
    seconds: u64,
    /// Router processes of each seed.
    #[bpaf(argument("COUNT"), fallback(4))]
    routers: usize,
    /// Callers of each seed.
    #[bpaf(argument("COUNT"), fallback(12))]
    callers: u64,
    /// Folder for settings and logs; by default a temporary folder of this process.
    /// Concurrent runs must not share a folder.
    #[bpaf(argument("FOLDER"), fallback(own_folder()))]
    folder: PathBuf,
    /// An earlier build of the router's program; processes of both builds run side by side.
    #[bpaf(argument("PROGRAM"), optional)]
    former: Option<PathBuf>,
    /// The router's program.
    #[bpaf(positional("PROGRAM"))]
    program: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = arguments().run();
    // The end of the runtime drops all routers, which kills their processes.
    tokio::select! {
        code = run_seeds(arguments) => code,
        () = stop_signal() => {
            println!("stopped before the end");
            ExitCode::FAILURE
        }
    }
}

/// Waits for SIGTERM or SIGINT.
async fn stop_signal() {
    let term = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (mut term, mut interrupt) =
        term.and_then(|it| Ok((it, interrupt?))).expect("signals can be handled");
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Runs all seeds, at most `jobs` at a time.
async fn run_seeds(arguments: Arguments) -> ExitCode {
    let options = Options {
        programs: Programs { current: arguments.program, former: arguments.former },
        folder: arguments.folder,
        routers: arguments.routers,
        backends: 7,
        callers: arguments.callers,
        length: Duration::from_secs(arguments.seconds),
    };
    let mut failed = false;
    let mut seeds = arguments.first..arguments.first + arguments.seeds;
    let mut running = JoinSet::new();
    loop {
        while running.len() < arguments.jobs
            && let Some(seed) = seeds.next()
        {
            let options = options.clone();
            running.spawn(async move { (seed, run(&options, seed).await) });
        }
        let Some(ended) = running.join_next().await else {
            break;
        };
        match ended {
            Ok((_, Ok(report))) => {
                failed |= !report.violations.is_empty();
                println!("{report}");
            }
            Ok((seed, Err(e))) => {
                failed = true;
                println!("seed {seed}: cannot run: {e}");
            }
            Err(e) => {
                failed = true;
                println!("the task of a seed failed: {e}");
            }
        }
    }
    if failed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

/// Path of a temporary folder that no other process uses.
fn own_folder() -> PathBuf {
    std::env::temp_dir().join(format!("soak-{}", std::process::id()))
}
