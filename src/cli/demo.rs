//! `filberttiller demo`.

use std::time::Duration;

use error_stack::Report as ErrorReport;
use tokio::time::timeout;

use crate::cli::CliError;
use crate::demo::{DemoError, Fleet, FleetOptions, Report, run_traffic};

/// Longest time of the whole demonstration.
const TIME_LIMIT: Duration = Duration::from_secs(20);
/// Chats after the model has moved.
const MOVED_CHATS: usize = 20;

/// Runs the demonstration.
pub(crate) async fn run(seed: u64, chats: usize) -> Result<(), CliError> {
    match timeout(TIME_LIMIT, play(seed, chats)).await {
        Ok(Ok(true)) => Ok(()),
        Ok(Ok(false)) => {
            Err(CliError::Failed("not every request got its own whole answer".to_owned()))
        }
        Ok(Err(e)) => Err(CliError::Failed(format!("{e:?}"))),
        Err(_) => Err(CliError::Failed(format!("not done within {TIME_LIMIT:?}"))),
    }
}

async fn play(seed: u64, chats: usize) -> Result<bool, ErrorReport<DemoError>> {
    println!("starting stand-ins and four routers");
    let fleet = Fleet::start(FleetOptions::default()).await?;
    let spread = fleet.publish_first().await?;
    println!("first ticket in force on all routers after {} ms", spread.as_millis());
    println!("sending {chats} chats that return, and reservations (seed {seed})");
    let outcome = run_traffic(&fleet, seed, chats).await;
    let report = Report::new(&fleet, outcome);
    let spread = fleet.move_model().await?;
    println!("second ticket in force after {} ms; sending more chats", spread.as_millis());
    let moved = run_traffic(&fleet, seed + 1, MOVED_CHATS).await;
    let served: u64 = fleet.canaries.iter().map(|it| it.total_runs()).sum();
    println!("the other pool served {served} of {} requests", moved.asked);
    println!("\n{report}");
    Ok(report.is_good() && moved.wrong.is_empty() && served == moved.asked as u64)
}
