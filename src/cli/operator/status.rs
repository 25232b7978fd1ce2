//! `filberttiller status`.

use std::path::Path;
use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::cli::CliError;
use crate::cli::operator::client::Client;
use crate::overview::{FleetStatus, screen};

/// Pause between two looks with `--watch`.
const LOOK_EVERY: Duration = Duration::from_secs(2);
/// Clears a terminal and goes to its top left corner.
const CLEAR: &str = "\x1b[2J\x1b[H";

/// Shows one screen over the fleet, again and again with `watch`.
pub(crate) async fn run(settings: &Path, watch: bool, json: bool) -> Result<(), CliError> {
    let client = Client::new(settings)?;
    let mut before = FleetStatus::default();
    loop {
        let look = FleetStatus::poll(&client.routers, &client.routers().await).await;
        if json {
            println!("{}", json!(look));
        } else {
            let clear = if watch { CLEAR } else { "" };
            print!("{clear}{}", screen(&look, &before));
        }
        if !watch {
            return verdict(&look);
        }
        before = look;
        sleep(LOOK_EVERY).await;
    }
}

/// An error when a router is unreachable.
fn verdict(look: &FleetStatus) -> Result<(), CliError> {
    if look.unreachable.is_empty() {
        return Ok(());
    }
    let names: Vec<_> = look.unreachable.keys().map(String::as_str).collect();
    Err(CliError::Partial(format!("unreachable: {}", names.join(", "))))
}
