//! `filberttiller in-force`.

use std::collections::BTreeMap;
use std::path::Path;

use serde_json::json;

use crate::cli::CliError;
use crate::cli::operator::client::Client;
use crate::wire::{WireInForce, WireObjectState};

/// Shows what is in force on every router.
pub(crate) async fn run(settings: &Path, json: bool) -> Result<(), CliError> {
    let client = Client::new(settings)?;
    let mut states: BTreeMap<String, WireInForce> = BTreeMap::new();
    let mut silent: BTreeMap<String, String> = BTreeMap::new();
    for (name, addr) in client.routers().await {
        match client.routers.in_force(addr).await {
            Ok(state) => drop(states.insert(name, state)),
            Err(e) => drop(silent.insert(name, e.to_string())),
        }
    }
    if json {
        println!("{}", json!({ "routers": states, "unreachable": silent }));
    } else {
        print(&states, &silent);
    }
    verdict(&states, &silent)
}

fn print(states: &BTreeMap<String, WireInForce>, silent: &BTreeMap<String, String>) {
    for (name, state) in states {
        println!("{name}: in force up to offset {}", state.next);
    }
    for (name, fault) in silent {
        println!("{name}: unreachable: {fault}");
    }
    let Some(newest) = states.values().max_by_key(|it| it.next) else {
        return;
    };
    for it in &newest.objects {
        println!("{}", line(it));
    }
}

fn line(it: &WireObjectState) -> String {
    let state = it.spec.as_ref().map_or_else(|| "removed".to_owned(), ToString::to_string);
    format!("  {} {} (ticket {}): {state}", it.kind, it.name, it.number)
}

/// An error when a router is silent or differs from the others.
fn verdict(
    states: &BTreeMap<String, WireInForce>,
    silent: &BTreeMap<String, String>,
) -> Result<(), CliError> {
    if !silent.is_empty() {
        let names: Vec<_> = silent.keys().map(String::as_str).collect();
        return Err(CliError::Partial(format!("unreachable: {}", names.join(", "))));
    }
    let mut objects = states.values().map(|it| &it.objects);
    let first = objects.next();
    if objects.any(|it| Some(it) != first) {
        return Err(CliError::Partial("the routers differ".to_owned()));
    }
    Ok(())
}
