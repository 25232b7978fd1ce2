//! Processor time of threads.

use std::path::Path;
use std::time::Duration;

/// Directory of the threads of this process (proc(5)).
const THREADS: &str = "/proc/self/task";

/// Processor time that the threads of this process with `name` have taken; other
/// processes on the machine do not add to it.
pub(crate) fn thread_time(name: &str) -> Duration {
    let Ok(threads) = std::fs::read_dir(THREADS) else {
        return Duration::ZERO;
    };
    let paths = threads.flatten().map(|it| it.path());
    paths.filter(|it| is_named(it, name)).filter_map(|it| taken(&it)).sum()
}

fn is_named(thread: &Path, name: &str) -> bool {
    let text = std::fs::read_to_string(thread.join("comm")).unwrap_or_default();
    text.trim_end() == name
}

/// The first number of `schedstat`: nanoseconds on a processor.
fn taken(thread: &Path) -> Option<Duration> {
    let text = std::fs::read_to_string(thread.join("schedstat")).ok()?;
    let nanos = text.split(' ').next()?.parse().ok()?;
    Some(Duration::from_nanos(nanos))
}
