//! `filberttiller ticket`.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::backend::PlatformError;
use crate::cli::CliError;
use crate::cli::client::Client;
use crate::controllers::TICKET_STREAM;
use crate::state::Ticket;
use crate::wire::{WireOutcome, WireTicket, parse_ticket};

/// How long publishing waits for all routers.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two looks at a router.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Tries to append a record whose reply was lost.
const APPEND_TRIES: usize = 3;

/// Checks a ticket file.
pub(crate) fn check(file: &Path) -> Result<(), CliError> {
    let (_, ticket) = read(file)?;
    println!("{}: ticket {} is good", file.display(), ticket.number);
    Ok(())
}

fn read(file: &Path) -> Result<(WireTicket, Ticket), CliError> {
    let name = file.display();
    let text = std::fs::read_to_string(file)
        .map_err(|e| CliError::Input(format!("{name}: cannot be read: {e}")))?;
    parse_ticket(&text).map_err(|e| CliError::Input(format!("{name}: {e}")))
}

/// Publishes a ticket file and tells what became of it on every router.
pub(crate) async fn publish(settings: &Path, file: &Path) -> Result<(), CliError> {
    let (wire, ticket) = read(file)?;
    let client = Client::new(settings)?;
    let body = serde_json::to_value(&wire).unwrap_or(Value::Null);
    let offset = append(&client, &body).await?;
    println!("ticket {} is at offset {offset}", ticket.number);
    let until = Instant::now() + SPREAD_TIMEOUT;
    let mut rejected = None;
    let mut silent = Vec::new();
    for (name, addr) in client.routers().await {
        match outcome(&client, addr, offset, until).await {
            Ok(WireOutcome { rejection: None, .. }) => println!("{name}: in force"),
            Ok(WireOutcome { rejection: Some(why), .. }) => {
                println!("{name}: rejected: {why}");
                rejected = Some(why);
            }
            Err(fault) => {
                println!("{name}: unknown: {fault}");
                silent.push(name);
            }
        }
    }
    if let Some(why) = rejected {
        return Err(CliError::Failed(format!("ticket {} was rejected: {why}", ticket.number)));
    }
    if !silent.is_empty() {
        let names = silent.join(", ");
        return Err(CliError::Partial(format!("not known to be in force on {names}")));
    }
    Ok(())
}

/// Appends the record; again when the reply is lost, which the fold allows.
async fn append(client: &Client, body: &Value) -> Result<u64, CliError> {
    let mut fault = String::new();
    for _ in 0..APPEND_TRIES {
        match client.log.append(TICKET_STREAM, body).await {
            Ok(offset) => return Ok(offset),
            Err(e @ PlatformError::NoAnswer { .. }) => fault = e.to_string(),
            Err(e) => {
                fault = e.to_string();
                break;
            }
        }
    }
    Err(CliError::Failed(format!("the log did not take the ticket: {fault}")))
}

/// What the router at `addr` says about the record at `offset`.
async fn outcome(
    client: &Client,
    addr: SocketAddr,
    offset: u64,
    until: Instant,
) -> Result<WireOutcome, String> {
    loop {
        let fault = match client.routers.in_force(addr).await {
            Ok(state) => match state.outcomes.into_iter().find(|it| it.offset == offset) {
                Some(outcome) => return Ok(outcome),
                None => "it has not read that far".to_owned(),
            },
            Err(e) => e.to_string(),
        };
        if Instant::now() >= until {
            return Err(fault);
        }
        sleep(LOOK_EVERY).await;
    }
}
