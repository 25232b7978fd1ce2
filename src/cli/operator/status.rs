//! `filberttiller status`.

use std::path::Path;
use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::cli::CliError;
use crate::cli::operator::client::Client;
use crate::overview::{FleetStatus, screen};

/// Time between two polls with `--watch`.
const POLL_EVERY: Duration = Duration::from_secs(2);
/// Escape sequences that clear a terminal and move the cursor to the top left.
const CLEAR: &str = "\x1b[2J\x1b[H";

/// Shows the state of the fleet, every [`POLL_EVERY`] with `watch`.
pub(crate) async fn run(settings: &Path, watch: bool, json: bool) -> Result<(), CliError> {
    let client = Client::new(settings)?;
    let mut before = FleetStatus::default();
    loop {
        let status = FleetStatus::poll(&client.routers, &client.routers().await).await;
        if json {
            println!("{}", json!(status));
        } else {
            let clear = if watch { CLEAR } else { "" };
            print!("{clear}{}", screen(&status, &before));
        }
        if !watch {
            return check_reachable(&status);
        }
        before = status;
        sleep(POLL_EVERY).await;
    }
}

/// Fails when a router is unreachable.
fn check_reachable(status: &FleetStatus) -> Result<(), CliError> {
    if status.unreachable.is_empty() {
        return Ok(());
    }
    let names: Vec<_> = status.unreachable.keys().map(String::as_str).collect();
    Err(CliError::Partial(format!("unreachable: {}", names.join(", "))))
}
