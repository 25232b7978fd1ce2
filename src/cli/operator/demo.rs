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

/// Longest time of the whole demonstration.
const TIME_LIMIT: Duration = Duration::from_secs(20);
/// Chats after the model has moved.
const MOVED_CHATS: usize = 20;

/// Runs the demonstration and writes its time line to `page`, if there is one.
pub(crate) async fn run(seed: u64, chats: usize, page: Option<&Path>) -> Result<(), CliError> {
    match timeout(TIME_LIMIT, play(seed, chats, page)).await {
        Ok(Ok(true)) => Ok(()),
        Ok(Ok(false)) => {
            Err(CliError::Failed("not every request got its own whole answer".to_owned()))
        }
        Ok(Err(e)) => Err(CliError::Failed(format!("{e:?}"))),
        Err(_) => Err(CliError::Failed(format!("not done within {TIME_LIMIT:?}"))),
    }
}

async fn play(seed: u64, chats: usize, page: Option<&Path>) -> Result<bool, Report<DemoError>> {
    println!("starting stand-ins and four routers");
    let fleet = Fleet::start(FleetOptions::default()).await?;
    let spread = fleet.publish_first_ticket().await?;
    println!("first ticket in force on all routers after {} ms", spread.as_millis());
    println!("sending {chats} chats that return, and reservations (seed {seed})");
    let outcome = run_traffic(&fleet, seed, chats).await;
    let report = DemoReport::new(&fleet, outcome);
    let spread = fleet.move_model().await?;
    println!("second ticket in force after {} ms; sending more chats", spread.as_millis());
    let moved = run_traffic(&fleet, seed + 1, MOVED_CHATS).await;
    let served: u64 = fleet.canaries.iter().map(|it| it.total_runs()).sum();
    println!("the other pool served {served} of {} requests", moved.requests);
    println!("\n{report}");
    let explained = tell(&fleet, &[report.outcome(), &moved], page).await?;
    let moved_well = moved.failures.is_empty() && served == moved.requests as u64;
    Ok(report.is_good() && moved_well && explained)
}

/// Tells whether the time line explains every refusal.
async fn tell(
    fleet: &Fleet,
    outcomes: &[&TrafficResult],
    page: Option<&Path>,
) -> Result<bool, Report<DemoError>> {
    let story = TimelineCheck::read(fleet, &fleet.control(), outcomes).await;
    let (events, requests) = (story.timeline.events.len(), story.requests);
    println!("time line: {events} events of {requests} requests, {} refused", story.refused);
    story.timeline.notes().iter().chain(&story.unexplained).for_each(|it| println!("  {it}"));
    if let Some(file) = page {
        let written = std::fs::write(file, html(&story.timeline));
        written.change_context_lazy(|| DemoError::new(file.display().to_string()))?;
    }
    Ok(story.unexplained.is_empty())
}
