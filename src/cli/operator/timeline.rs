//! `filberttiller timeline`.

use crate::cli::CliError;
use crate::cli::operator::args::TimelineArgs;
use crate::cli::operator::client::Client;
use crate::clock::SystemClock;
use crate::decide::chat_key;
use crate::timeline::{Selection, read};

/// Shows the events of all routers in causal order.
pub(crate) async fn run(args: &TimelineArgs) -> Result<(), CliError> {
    let selection = selection(args)?;
    let client = Client::new(&args.settings_arg)?;
    let routers = client.routers().await;
    let all = read(&client.routers, &routers, args.since.into(), &SystemClock).await;
    let selected = selection.apply(&all);
    print!("{}", args.format.write(&selected));
    if selected.events.is_empty() {
        return Err(CliError::Failed("no event matches".to_owned()));
    }
    let missing = all.processes.values().filter(|it| it.missing.is_some());
    let names: Vec<_> = missing.map(|it| it.name.as_str()).collect();
    if names.is_empty() {
        return Ok(());
    }
    Err(CliError::Partial(format!("missing: {}", names.join(", "))))
}

/// The selection that the arguments ask for; at most one may be given.
fn selection(args: &TimelineArgs) -> Result<Selection, CliError> {
    let chosen = [
        args.request.clone().map(Selection::Request),
        args.ticket.map(Selection::Ticket),
        args.chat.as_deref().map(chat).transpose()?,
        args.engine.clone().map(Selection::Engine),
    ];
    let mut chosen = chosen.into_iter().flatten();
    let first = chosen.next().unwrap_or(Selection::All);
    match chosen.next() {
        None => Ok(first),
        Some(_) => Err(CliError::Input(
            "only one of --request, --ticket, --chat and --engine may be given".to_owned(),
        )),
    }
}

/// A chat given as `ORGANISATION/CHAT`.
fn chat(text: &str) -> Result<Selection, CliError> {
    let Some((organisation, chat)) = text.split_once('/') else {
        return Err(CliError::Input(format!(
            "invalid --chat `{text}`; expected `ORGANISATION/CHAT`"
        )));
    };
    Ok(Selection::Chat(chat_key(organisation, chat)))
}
