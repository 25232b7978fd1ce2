//! A short soak for CI, and every seed that ever failed.

use std::path::PathBuf;
use std::time::Duration;

use rstest::rstest;
use soak::{Options, run};

fn options() -> Options {
    Options {
        program: PathBuf::from(env!("CARGO_BIN_EXE_stepped-router")),
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak"),
        routers: 3,
        backends: 7,
        callers: 6,
        length: Duration::from_secs(5),
    }
}

#[rstest]
#[case::first(1)]
#[case::second(2)]
#[case::clocks(1_001)]
// Took a shutdown for calm whose router had stood still for 3 s: its streams had timed out.
#[case::paused_before_stop(333)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn soak_keeps_promises(#[case] seed: u64) {
    let report = run(&options(), seed).await.expect("everything starts");
    assert!(report.broken.is_empty(), "{report}");
    assert!(report.served > 0, "{report}");
}
