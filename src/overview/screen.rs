//! Fleet status as text for one screen.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use crate::overview::FleetStatus;
use crate::wire::{WireEngine, WireStatus, WireWantedItem};

/// Load below which a backend server is not compared with its bound: such loads are noise.
const NOISE_TOKENS: f64 = 1_000.0;

/// Renders `status` as text. Rates are averages since the poll `before`, or since its
/// start for a router that `before` lacks. A `!` marks routers that lag behind the log and
/// values that miss their bound.
pub fn screen(status: &FleetStatus, before: &FleetStatus) -> String {
    let mut out = String::new();
    router_lines(&mut out, status, before);
    for (name, fault) in &status.unreachable {
        let _ = writeln!(out, "{name:<16}unreachable: {fault}");
    }
    let suspects: BTreeSet<_> = status.routers.values().flat_map(|it| &it.suspects).collect();
    for it in suspects {
        let _ = writeln!(out, "suspect request {it}");
    }
    engine_lines(&mut out, status);
    item_lines(&mut out, status);
    out
}

fn router_lines(out: &mut String, status: &FleetStatus, before: &FleetStatus) {
    let newest_offset = status.routers.values().map(|it| it.next).max().unwrap_or(0);
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
    for (name, it) in &status.routers {
        let _ = writeln!(out, "{}", router_line(name, it, before.routers.get(name), newest_offset));
    }
}

fn router_line(
    name: &str,
    it: &WireStatus,
    before: Option<&WireStatus>,
    newest_offset: u64,
) -> String {
    let standing = match (it.ready, it.leaving) {
        (false, _) => "not ready",
        (true, true) => "leaving",
        (true, false) => "live",
    };
    let behind = if it.next < newest_offset { "!" } else { "" };
    let all: u64 = it.requests.iter().map(|it| it.count).sum();
    let refused: u64 = it.requests.iter().filter(|it| it.verdict != "ran").map(|it| it.count).sum();
    let reuse = 100.0 * it.cached_tokens as f64 / it.prompt_tokens.max(1) as f64;
    let rate = control_rate(it, before);
    let over = if rate > it.control_budget as f64 { "!" } else { "" };
    format!(
        "{name:<16}{:<14}{standing:<10}{:>8}{:>10}{:>11}{:>9}{:>8}{:>14}",
        it.domain,
        format!("{}{behind}", it.next),
        it.in_flight,
        format!("{refused}/{all}"),
        it.spilled,
        format!("{reuse:.1}%"),
        format!("{rate:.0}{over}/{}", it.control_budget),
    )
}

/// Control bytes a second since the previous poll; since the start of the router if there
/// was no previous poll or the router has restarted after it.
fn control_rate(now: &WireStatus, before: Option<&WireStatus>) -> f64 {
    let same = before.filter(|it| it.up_ms < now.up_ms);
    let (bytes, up_ms) = same.map_or((0, 0), |it| (it.control_bytes, it.up_ms));
    let time = (now.up_ms - up_ms).max(1) as f64 / 1e3;
    now.control_bytes.saturating_sub(bytes) as f64 / time
}

/// One line for each backend server, with the highest load that a router reports.
fn engine_lines(out: &mut String, status: &FleetStatus) {
    let mut engines: BTreeMap<(&str, &str), Vec<&WireEngine>> = BTreeMap::new();
    for it in status.routers.values().flat_map(|it| &it.engines) {
        engines.entry((&it.pool, &it.name)).or_default().push(it);
    }
    let _ = writeln!(
        out,
        "\n{:<22}{:<18}{:<10}{:>14}{:>12}  SEEN BY",
        "BACKEND SERVER", "POOL", "STANDING", "LOAD (tokens)", "OF BOUND"
    );
    for ((pool, name), seen) in &engines {
        let busiest = seen.iter().max_by(|a, b| a.load.total_cmp(&b.load));
        let Some(it) = busiest else { continue };
        let standing = if seen.iter().any(|it| it.leaving) { "leaving" } else { "live" };
        let (count, all) = (seen.len(), status.routers.len());
        let (load, share) = (it.load, bound_share(it));
        let _ = writeln!(
            out,
            "{name:<22}{pool:<18}{standing:<10}{load:>14.0}{share:>12}  {count} of {all}"
        );
    }
}

/// The load in percent of its bound, marked when above it; `-` for loads below
/// [`NOISE_TOKENS`].
fn bound_share(it: &WireEngine) -> String {
    if it.load < NOISE_TOKENS || it.bound <= 0.0 {
        return "-".to_owned();
    }
    let share = 100.0 * it.load / it.bound;
    let over = if share > 100.0 { "!" } else { "" };
    format!("{share:.0}%{over}")
}

/// One line for each model version or adapter that engines are ordered to load, as seen by
/// the router that knows the fewest copies.
fn item_lines(out: &mut String, status: &FleetStatus) {
    let mut items: BTreeMap<&str, Vec<&WireWantedItem>> = BTreeMap::new();
    for it in status.routers.values().flat_map(|it| &it.items) {
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
