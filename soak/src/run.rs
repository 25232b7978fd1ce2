//! One seed from start to end.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::callers::{Book, call};
use crate::checks::{broken, entry_broken};
use crate::faults::play;
use crate::fleet::Fleet;
use crate::report::Report;

/// Time without faults at the end: to settle, and then to be served in.
const CALM_TIME: Duration = Duration::from_secs(6);
/// Time before the first fault.
const WARM_TIME: Duration = Duration::from_millis(1_500);

/// How large a soak is.
#[derive(Debug, Clone)]
pub struct Options {
    /// The router's program.
    pub program: PathBuf,
    /// Where settings and logs go.
    pub folder: PathBuf,
    /// Router processes.
    pub routers: usize,
    /// Backend servers at the start, four or more.
    pub backends: usize,
    /// Callers.
    pub callers: u64,
    /// Time of faults.
    pub length: Duration,
}

/// Plays one seed.
///
/// # Errors
/// Fails when something cannot be started.
pub async fn run(options: &Options, seed: u64) -> io::Result<Report> {
    let folder = options.folder.join(format!("seed-{seed}"));
    let start = Fleet::start(&options.program, &folder, options.routers, options.backends);
    let fleet = Arc::new(start.await?);
    let book = Arc::new(Book::default());
    sleep(WARM_TIME).await;
    let mut callers = JoinSet::new();
    for number in 0..options.callers {
        let seed = seed.wrapping_mul(1_000).wrapping_add(number);
        callers.spawn(call(Arc::clone(&fleet), Arc::clone(&book), seed));
    }
    let mut wrong = play(&fleet, seed, options.length).await;
    let calm = Instant::now();
    sleep(CALM_TIME).await;
    wrong.extend(entry_broken(&fleet).await);
    book.stop.store(true, Ordering::Relaxed);
    callers.join_all().await;
    for router in fleet.routers.lock().await.iter_mut().flatten() {
        if let Some(status) = router.ended() {
            wrong.push(format!("a router ended by itself: {status}"));
        }
        wrong.extend(router.errors());
    }
    let seen = book.seen.lock().unwrap();
    wrong.extend(broken(&fleet, &seen, calm));
    let whole = |it: &&crate::callers::Seen| it.status == Some(200) && it.body.is_some();
    let served = seen.iter().filter(whole).count();
    Ok(Report { seed, requests: seen.len(), served, broken: wrong })
}
