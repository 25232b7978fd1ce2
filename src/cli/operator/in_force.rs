//! `filberttiller in-force`.

use std::collections::BTreeMap;
use std::path::Path;

use serde_json::json;

use crate::cli::CliError;
use crate::cli::operator::client::Client;
use crate::wire::{WireInForce, WireObjectState};

/// Shows the objects in force on every router.
pub(crate) async fn run(settings: &Path, json: bool) -> Result<(), CliError> {
    let client = Client::new(settings)?;
    let mut states: BTreeMap<String, WireInForce> = BTreeMap::new();
    let mut unreachable: BTreeMap<String, String> = BTreeMap::new();
    for (name, addr) in client.routers().await {
        match client.routers.in_force(addr).await {
            Ok(state) => drop(states.insert(name, state)),
            Err(e) => drop(unreachable.insert(name, e.to_string())),
        }
    }
    if json {
        println!("{}", json!({ "routers": states, "unreachable": unreachable }));
    } else {
        print(&states, &unreachable);
    }
    check_agreement(&states, &unreachable)
}

fn print(states: &BTreeMap<String, WireInForce>, unreachable: &BTreeMap<String, String>) {
    for (name, state) in states {
        println!("{name}: in force up to offset {}", state.next);
    }
    for (name, fault) in unreachable {
        println!("{name}: unreachable: {fault}");
    }
    let Some(newest) = states.values().max_by_key(|it| it.next) else {
        return;
    };
    for it in &newest.objects {
        println!("{}", object_line(it));
    }
}

fn object_line(it: &WireObjectState) -> String {
    let state = it.spec.as_ref().map_or_else(|| "removed".to_owned(), ToString::to_string);
    format!("  {} {} (ticket {}): {state}", it.kind, it.name, it.number)
}

/// Fails when a router is unreachable or its objects differ from those of the others.
fn check_agreement(
    states: &BTreeMap<String, WireInForce>,
    unreachable: &BTreeMap<String, String>,
) -> Result<(), CliError> {
    if !unreachable.is_empty() {
        let names: Vec<_> = unreachable.keys().map(String::as_str).collect();
        return Err(CliError::Partial(format!("unreachable: {}", names.join(", "))));
    }
    let mut objects = states.values().map(|it| &it.objects);
    let first = objects.next();
    if objects.any(|it| Some(it) != first) {
        return Err(CliError::Partial("the objects in force differ between routers".to_owned()));
    }
    Ok(())
}
