//! Runs the soak of one seed.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::Programs;
use crate::callers::{RequestResult, ResultLog, call};
use crate::checks::{resolve_violations, violations};
use crate::faults::inject_faults;
use crate::fleet::Fleet;
use crate::report::Report;

/// Time without faults at the end: for the fleet to recover, and then to serve requests.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// Time between the start of the routers and the first requests and faults.
const WARM_UP_TIME: Duration = Duration::from_millis(1_500);

/// From this seed on, servers have one of two software versions, and callers take streams up.
const FIRST_VERSIONS_SEED: u64 = 5_000;

/// From this seed on, each router has links of its own to the servers, which are cut.
const FIRST_ROUTER_CUTS_SEED: u64 = 7_000;

/// Size of a soak.
#[derive(Debug, Clone)]
pub struct Options {
    /// The router's builds.
    pub programs: Programs,
    /// Where settings and logs go.
    pub folder: PathBuf,
    /// Number of router processes.
    pub routers: usize,
    /// Number of backend servers at the start, four or more.
    pub backends: usize,
    /// Number of callers.
    pub callers: u64,
    /// How long faults are injected.
    pub length: Duration,
}

/// Runs the soak of one seed.
///
/// # Errors
/// Fails when something cannot be started.
pub async fn run(options: &Options, seed: u64) -> io::Result<Report> {
    let folder = options.folder.join(format!("seed-{seed}"));
    let has_versions = seed >= FIRST_VERSIONS_SEED;
    let (routers, backends) = (options.routers, options.backends);
    let has_cuts = seed >= FIRST_ROUTER_CUTS_SEED;
    let start = Fleet::start(&options.programs, &folder, routers, backends, has_versions, has_cuts);
    let fleet = Arc::new(start.await?);
    let log = Arc::new(ResultLog::default());
    sleep(WARM_UP_TIME).await;
    let mut callers = JoinSet::new();
    for number in 0..options.callers {
        let seed = seed.wrapping_mul(1_000).wrapping_add(number);
        callers.spawn(call(Arc::clone(&fleet), Arc::clone(&log), seed));
    }
    let mut all_violations = inject_faults(&fleet, seed, options.length).await;
    let faults_ended = Instant::now();
    sleep(RECOVERY_TIME).await;
    all_violations.extend(resolve_violations(&fleet).await);
    log.stop.store(true, Ordering::Relaxed);
    callers.join_all().await;
    for router in fleet.routers.lock().await.iter_mut().flatten() {
        if let Some(status) = router.ended() {
            all_violations.push(format!("a router process ended unexpectedly: {status}"));
        }
        all_violations.extend(router.errors());
    }
    let results = log.results.lock().unwrap();
    all_violations.extend(violations(&fleet, &results, faults_ended));
    let is_served = |it: &&RequestResult| it.status == Some(200) && it.body.is_some();
    let served = results.iter().filter(is_served).count();
    let taken_up = || results.iter().filter(|it| it.taken_up.is_some());
    Ok(Report {
        seed,
        requests: results.len(),
        served,
        taken_up: taken_up().count(),
        went_on: taken_up().filter(is_served).count(),
        violations: all_violations,
    })
}
