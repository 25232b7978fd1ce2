//! `filberttiller demo`.

use std::path::Path;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use tokio::time::timeout;

use crate::cli::CliError;
use crate::demo::{
    DemoError, DemoReport, Fleet, FleetOptions, TimelineCheck, TrafficResult, run_traffic,
};
use crate::timeline::html;

/// Time limit of the demonstration.
const TIME_LIMIT: Duration = Duration::from_secs(20);
/// Chats after the model has moved to the canary pool.
const MOVED_CHATS: usize = 20;

/// Runs the demonstration and writes its time line to `page`, if one is given.
pub(crate) async fn run(seed: u64, chats: usize, page: Option<&Path>) -> Result<(), CliError> {
    match timeout(TIME_LIMIT, run_demo(seed, chats, page)).await {
        Ok(Ok(true)) => Ok(()),
        Ok(Ok(false)) => {
            Err(CliError::Failed("not every request got its own complete answer".to_owned()))
        }
        Ok(Err(e)) => Err(CliError::Failed(format!("{e:?}"))),
        Err(_) => {
            Err(CliError::Failed(format!("the demonstration did not end within {TIME_LIMIT:?}")))
        }
    }
}

async fn run_demo(seed: u64, chats: usize, page: Option<&Path>) -> Result<bool, Report<DemoError>> {
    println!("starting stand-ins and four routers");
    let fleet = Fleet::start(FleetOptions::default()).await?;
    let spread = fleet.publish_first_ticket().await?;
    println!("first ticket in force on all routers after {} ms", spread.as_millis());
    println!("sending {chats} chats of several turns, and reservations (seed {seed})");
    let result = run_traffic(&fleet, seed, chats).await;
    let report = DemoReport::new(&fleet, result);
    let spread = fleet.move_model().await?;
    println!("second ticket in force after {} ms; sending more chats", spread.as_millis());
    let moved = run_traffic(&fleet, seed + 1, MOVED_CHATS).await;
    let served: u64 = fleet.canaries.iter().map(|it| it.total_runs()).sum();
    println!("the canary pool served {served} of {} requests", moved.requests);
    println!("\n{report}");
    let explained = print_timeline(&fleet, &[report.result(), &moved], page).await?;
    let has_moved = moved.failures.is_empty() && served == moved.requests as u64;
    Ok(report.is_good() && has_moved && explained)
}

/// Prints a summary of the time line; returns whether it explains every refusal.
async fn print_timeline(
    fleet: &Fleet,
    results: &[&TrafficResult],
    page: Option<&Path>,
) -> Result<bool, Report<DemoError>> {
    let check = TimelineCheck::read(fleet, &fleet.control(), results).await;
    let (events, requests) = (check.timeline.events.len(), check.requests);
    println!("time line: {events} events of {requests} requests, {} refused", check.refused);
    check.timeline.notes().iter().chain(&check.unexplained).for_each(|it| println!("  {it}"));
    if let Some(file) = page {
        let written = std::fs::write(file, html(&check.timeline));
        written.change_context_lazy(|| DemoError::new(file.display().to_string()))?;
    }
    Ok(check.unexplained.is_empty())
}
