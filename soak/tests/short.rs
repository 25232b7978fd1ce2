//! Short soaks for CI, including every seed that has failed before.

use std::path::PathBuf;
use std::process::Stdio;
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rstest::rstest;
use soak::{Options, Programs, run};
use tokio::process::Command;
use tokio::time::sleep;

fn options() -> Options {
    Options {
        programs: Programs { current: env!("CARGO_BIN_EXE_stepped-router").into(), former: None },
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
// Routers took a stream for complete whose server had closed its connection inside an event.
#[case::closed_inside_event(2_005)]
// The check counted a shutdown as graceful although its router was suspended during it.
#[case::suspended_in_shutdown(2_102)]
// Routers sent requests to servers that had said in their answers that they leave.
#[case::stated_leaving(4_001)]
// Two software versions serve, and callers take streams up at other routers.
#[case::software_versions(5_001)]
// The store is restored from copies, and gives positions out again.
#[case::restored_store(6_001)]
// Routers are cut off from all servers.
#[case::router_cuts(7_001)]
// The check took the server that a request reached last for the one that answered: a request
// that was retried after a silence reached the silent server later.
#[case::retried_after_silence(6_008)]
// The check once counted a shutdown as graceful although the router had been paused for 3 s
// and its streams had timed out.
#[case::paused_before_stop(333)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn soak_keeps_guarantees(#[case] seed: u64) {
    let report = run(&options(), seed).await.expect("everything starts");
    assert!(report.violations.is_empty(), "{report}");
    assert!(report.served > 0, "{report}");
}

/// Maximum time for processes to end.
const END_TIMEOUT: Duration = Duration::from_secs(20);

/// A soak that is stopped early must end its routers: a router left running would keep polling
/// a port that another process may bind.
#[tokio::test]
async fn stopped_soak_ends_routers() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak-stopped");
    let mut soak = Command::new(env!("CARGO_BIN_EXE_soak"))
        .arg(env!("CARGO_BIN_EXE_stepped-router"))
        .args(["--seconds", "60", "--folder"])
        .arg(folder)
        .stdout(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .expect("it starts");
    let id = soak.id().expect("it runs");
    let mut routers = all_children(id);
    while routers.len() < 4 {
        assert!(soak.try_wait().expect("it is ours").is_none(), "it ended early");
        sleep(Duration::from_millis(50)).await;
        routers = all_children(id);
    }
    kill(Pid::from_raw(id as i32), Signal::SIGTERM).expect("it runs");
    soak.wait().await.expect("it is ours");
    let is_running = |it: &String| {
        let state = std::fs::read_to_string(format!("/proc/{it}/stat")).unwrap_or_default();
        state.contains("stepped-router") && !state.contains(") Z ")
    };
    let stopped = Instant::now();
    while routers.iter().any(is_running) {
        assert!(stopped.elapsed() < END_TIMEOUT, "routers still run");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Ids of the child processes of all threads of the process `id`.
fn all_children(id: u32) -> Vec<String> {
    let threads = std::fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten();
    let lists = threads.map(|it| std::fs::read_to_string(it.path().join("children")));
    let lists = lists.map(Result::unwrap_or_default).collect::<Vec<_>>();
    lists.iter().flat_map(|it| it.split_whitespace()).map(str::to_owned).collect()
}
