//! Memory and processor time of this process, as the operating system reports them.

use std::path::Path;
use std::time::Duration;

/// Directory of the threads of this process (proc(5)).
const THREADS_DIR: &str = "/proc/self/task";

/// Status file of this process (proc(5)).
const STATUS_FILE: &str = "/proc/self/status";

/// Resident memory of this process, in bytes; 0 where the system does not report it.
pub(crate) fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string(STATUS_FILE).unwrap_or_default();
    let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    let kib = line.and_then(|it| it.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kib.unwrap_or(0) * 1_024
}

/// Processor time used by the threads of this process with `name`; other processes on
/// the machine do not add to it.
pub(crate) fn thread_time(name: &str) -> Duration {
    let Ok(threads) = std::fs::read_dir(THREADS_DIR) else {
        return Duration::ZERO;
    };
    let paths = threads.flatten().map(|it| it.path());
    paths.filter(|it| is_named(it, name)).filter_map(|it| cpu_time(&it)).sum()
}

fn is_named(thread: &Path, name: &str) -> bool {
    let text = std::fs::read_to_string(thread.join("comm")).unwrap_or_default();
    text.trim_end() == name
}

/// The first number of `schedstat`: the thread's time on a processor in nanoseconds.
fn cpu_time(thread: &Path) -> Option<Duration> {
    let text = std::fs::read_to_string(thread.join("schedstat")).ok()?;
    let nanos = text.split(' ').next()?.parse().ok()?;
    Some(Duration::from_nanos(nanos))
}
