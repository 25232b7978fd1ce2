//! `filberttiller ticket`.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::backend::PlatformError;
use crate::cli::CliError;
use crate::cli::operator::client::Client;
use crate::controllers::TICKET_STREAM;
use crate::state::Ticket;
use crate::wire::{WireEarlierAcceptance, WireOutcome, WireTicket, parse_ticket};

/// How long publishing waits until all routers have read the ticket.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two polls of a router.
const POLL_EVERY: Duration = Duration::from_millis(100);
/// Attempts to append a record whose reply was lost.
const APPEND_ATTEMPTS: usize = 3;

/// Checks a ticket file.
pub(crate) fn check(file: &Path) -> Result<(), CliError> {
    let (_, ticket) = read(file)?;
    println!("{}: ticket {} is valid", file.display(), ticket.number);
    Ok(())
}

fn read(file: &Path) -> Result<(WireTicket, Ticket), CliError> {
    let name = file.display();
    let text = std::fs::read_to_string(file)
        .map_err(|e| CliError::Input(format!("{name}: cannot be read: {e}")))?;
    parse_ticket(&text).map_err(|e| CliError::Input(format!("{name}: {e}")))
}

/// Publishes a ticket file and prints its outcome on every router.
pub(crate) async fn publish(settings: &Path, file: &Path) -> Result<(), CliError> {
    let (wire, ticket) = read(file)?;
    let client = Client::new(settings)?;
    let body = serde_json::to_value(&wire).unwrap_or(Value::Null);
    let appended = client.log.append_with_retries(TICKET_STREAM, &body, APPEND_ATTEMPTS).await;
    let offset = appended.map_err(not_appended)?;
    println!("ticket {} is at offset {offset}", ticket.number);
    let until = Instant::now() + PUBLISH_TIMEOUT;
    let mut rejected = None;
    let mut unknown = Vec::new();
    for (name, addr) in client.routers().await {
        match outcome(&client, addr, offset, until).await {
            Ok(it @ WireOutcome { rejection: None, .. }) => {
                println!("{name}: {}", describe_accepted(&it))
            }
            Ok(WireOutcome { rejection: Some(why), .. }) => {
                println!("{name}: rejected: {why}");
                rejected = Some(why);
            }
            Err(fault) => {
                println!("{name}: unknown: {fault}");
                unknown.push(name);
            }
        }
    }
    if let Some(why) = rejected {
        return Err(CliError::Failed(format!("ticket {} was rejected: {why}", ticket.number)));
    }
    if !unknown.is_empty() {
        let names = unknown.join(", ");
        return Err(CliError::Partial(format!("not known to be in force on {names}")));
    }
    Ok(())
}

/// The error of a failed append; without an answer, the log may still hold the ticket.
fn not_appended(error: PlatformError) -> CliError {
    let advice = match error {
        PlatformError::NoAnswer { .. } => {
            "the log may have appended the ticket; publishing the same ticket again is harmless"
        }
        _ => "the log did not append the ticket",
    };
    CliError::Failed(format!("{advice}: {error}"))
}

/// Describes an accepted ticket: whether it is in force now.
fn describe_accepted(it: &WireOutcome) -> String {
    match &it.earlier {
        None => "in force".to_owned(),
        Some(WireEarlierAcceptance { offset, replaced: None }) => {
            format!("in force since it was accepted earlier, at offset {offset}")
        }
        Some(WireEarlierAcceptance { offset, replaced: Some(by) }) => {
            format!("accepted earlier, at offset {offset}, and replaced since: {by}")
        }
    }
}

/// Polls the router at `addr` until `until` for the outcome of the record at `offset`.
async fn outcome(
    client: &Client,
    addr: SocketAddr,
    offset: u64,
    until: Instant,
) -> Result<WireOutcome, String> {
    loop {
        let fault = match client.routers.outcome(addr, offset).await {
            Ok(Some(outcome)) => return Ok(outcome),
            Ok(None) => "the router has not read the log up to the ticket".to_owned(),
            Err(e) => e.to_string(),
        };
        if Instant::now() >= until {
            return Err(fault);
        }
        sleep(POLL_EVERY).await;
    }
}
