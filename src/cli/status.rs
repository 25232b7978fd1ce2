//! `filberttiller status`.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

use futures_util::future::join_all;
use serde_json::json;
use tokio::time::sleep;

use crate::cli::CliError;
use crate::cli::client::Client;
use crate::wire::{WireEngine, WireItem, WireStatus};

/// Pause between two looks with `--watch`.
const LOOK_EVERY: Duration = Duration::from_secs(2);
/// Control bytes that a router may spend a second.
const CONTROL_BUDGET: f64 = 4_096.0;
/// Load below which a backend server is not marked as over its bound.
const NOISE_TOKENS: f64 = 1_000.0;
/// Clears a terminal and goes to its top left corner.
const CLEAR: &str = "\x1b[2J\x1b[H";

/// What was learnt at one look.
#[derive(Debug, Default)]
struct Look {
    routers: BTreeMap<String, WireStatus>,
    silent: BTreeMap<String, String>,
}

/// Shows one screen over the fleet, again and again with `watch`.
pub(crate) async fn run(settings: &Path, watch: bool, json: bool) -> Result<(), CliError> {
    let client = Client::new(settings)?;
    let mut before = Look::default();
    loop {
        let look = look(&client).await;
        if json {
            println!("{}", json!({ "routers": look.routers, "unreachable": look.silent }));
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

async fn look(client: &Client) -> Look {
    let routers = client.routers().await;
    let answers = join_all(routers.iter().map(|it| client.routers.status(it.1))).await;
    let mut look = Look::default();
    for ((name, _), answer) in routers.into_iter().zip(answers) {
        match answer {
            Ok(it) => drop(look.routers.insert(name, it)),
            Err(e) => drop(look.silent.insert(name, e.to_string())),
        }
    }
    look
}

/// An error when a router is silent.
fn verdict(look: &Look) -> Result<(), CliError> {
    if look.silent.is_empty() {
        return Ok(());
    }
    let names: Vec<_> = look.silent.keys().map(String::as_str).collect();
    Err(CliError::Partial(format!("unreachable: {}", names.join(", "))))
}

fn screen(look: &Look, before: &Look) -> String {
    let mut out = String::new();
    let newest = look.routers.values().map(|it| it.next).max().unwrap_or(0);
    let _ = writeln!(
        out,
        "{:<16}{:<14}{:<10}{:>8}{:>10}{:>11}{:>9}{:>8}{:>14}",
        "ROUTER",
        "DOMAIN",
        "STANDING",
        "OFFSET",
        "IN FLIGHT",
        "REFUSED",
        "SPILLED",
        "REUSE",
        "CONTROL B/s"
    );
    for (name, it) in &look.routers {
        let _ = writeln!(out, "{}", router_line(name, it, before.routers.get(name), newest));
    }
    for (name, fault) in &look.silent {
        let _ = writeln!(out, "{name:<16}unreachable: {fault}");
    }
    let suspects: std::collections::BTreeSet<_> =
        look.routers.values().flat_map(|it| &it.suspects).collect();
    for it in suspects {
        let _ = writeln!(out, "suspect request {it}");
    }
    engine_lines(&mut out, look);
    item_lines(&mut out, look);
    out
}

fn router_line(name: &str, it: &WireStatus, before: Option<&WireStatus>, newest: u64) -> String {
    let standing = match (it.ready, it.leaving) {
        (false, _) => "not ready",
        (true, true) => "leaving",
        (true, false) => "live",
    };
    let behind = if it.next < newest { "!" } else { "" };
    let all: u64 = it.requests.iter().map(|it| it.count).sum();
    let refused: u64 = it.requests.iter().filter(|it| it.verdict != "ran").map(|it| it.count).sum();
    let reuse = 100.0 * it.cached_tokens as f64 / it.prompt_tokens.max(1) as f64;
    let rate = control_rate(it, before);
    let over = if rate > CONTROL_BUDGET { "!" } else { "" };
    format!(
        "{name:<16}{:<14}{standing:<10}{:>8}{:>10}{:>11}{:>9}{:>8}{:>14}",
        it.domain,
        format!("{}{behind}", it.next),
        it.in_flight,
        format!("{refused}/{all}"),
        it.spilled,
        format!("{reuse:.1}%"),
        format!("{rate:.0}{over}/{CONTROL_BUDGET:.0}"),
    )
}

/// Control bytes a second since the look before, or since the start.
fn control_rate(now: &WireStatus, before: Option<&WireStatus>) -> f64 {
    let same = before.filter(|it| it.up_ms < now.up_ms);
    let (bytes, up_ms) = same.map_or((0, 0), |it| (it.control_bytes, it.up_ms));
    let time = (now.up_ms - up_ms).max(1) as f64 / 1e3;
    now.control_bytes.saturating_sub(bytes) as f64 / time
}

/// One line for each backend server: the loads that the routers see.
fn engine_lines(out: &mut String, look: &Look) {
    let mut engines: BTreeMap<(&str, &str), Vec<&WireEngine>> = BTreeMap::new();
    for it in look.routers.values().flat_map(|it| &it.engines) {
        engines.entry((&it.pool, &it.name)).or_default().push(it);
    }
    let _ = writeln!(
        out,
        "\n{:<22}{:<18}{:<10}{:>14}{:>12}  SEEN BY",
        "BACKEND SERVER", "POOL", "STANDING", "LOAD (tokens)", "OF BOUND"
    );
    for ((pool, name), seen) in &engines {
        let most = seen.iter().max_by(|a, b| a.load.total_cmp(&b.load));
        let Some(it) = most else { continue };
        let share = if it.bound > 0.0 { 100.0 * it.load / it.bound } else { 0.0 };
        let standing = if seen.iter().any(|it| it.leaving) { "leaving" } else { "live" };
        let (count, all) = (seen.len(), look.routers.len());
        let over = if share > 100.0 && it.load > NOISE_TOKENS { "!" } else { "" };
        let share = format!("{share:.0}%{over}");
        let _ = writeln!(
            out,
            "{name:<22}{pool:<18}{standing:<10}{:>14.0}{share:>12}  {count} of {all}",
            it.load
        );
    }
}

/// One line for each model version or adapter that engines are ordered to hold,
/// as the router that knows of the fewest copies sees it.
fn item_lines(out: &mut String, look: &Look) {
    let mut items: BTreeMap<&str, Vec<&WireItem>> = BTreeMap::new();
    for it in look.routers.values().flat_map(|it| &it.items) {
        items.entry(&it.name).or_default().push(it);
    }
    if items.is_empty() {
        return;
    }
    let _ = writeln!(out, "\n{:<28}{:<18}{:>10}  HELD BY", "MODEL OR ADAPTER", "POOL", "COPIES");
    for (name, seen) in &items {
        let Some(it) = seen.iter().min_by_key(|it| it.held.len()) else { continue };
        let missing = if it.held.len() < it.wanted { "!" } else { "" };
        let copies = format!("{}{missing}/{}", it.held.len(), it.wanted);
        let _ = writeln!(out, "{name:<28}{:<18}{copies:>10}  {}", it.pool, it.held.join(", "));
    }
}
