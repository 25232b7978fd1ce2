//! Metrics, and the page that documents them.

use std::collections::BTreeSet;

use filberttiller::demo::{Caller, ChatTurn, Fleet, FleetOptions};
use filberttiller::filters::{Counters, ORGANISATION_HEADER};
use serde_json::json;

const METRICS_PAGE: &str = include_str!("../../docs/METRICS.md");

async fn fleet() -> Fleet {
    let options = FleetOptions { routers: 1, engines: 1, canaries: 1, ..FleetOptions::default() };
    let fleet = Fleet::start(options).await.unwrap();
    fleet.publish_first_ticket().await.unwrap();
    fleet
}

async fn scrape(fleet: &Fleet) -> String {
    let url = format!("http://{}/metrics", fleet.routers[0].control());
    fleet.http.get(url).send().await.unwrap().text().await.unwrap()
}

async fn ask(fleet: &Fleet) {
    let messages = [json!({ "role": "user", "content": "which reeds" })];
    let mut caller = Caller::new(&fleet.http, "dalisay", "c1");
    let turn = ChatTurn { messages: &messages, tokens: 4, stream: false };
    caller.send(fleet.routers[0].address(), &turn).await.unwrap();
}

/// Names and kinds of all metrics in a scraped text.
fn families(text: &str) -> BTreeSet<(String, String)> {
    let lines = text.lines().filter_map(|it| it.strip_prefix("# TYPE filberttiller_"));
    let pairs = lines.filter_map(|it| it.split_once(' '));
    pairs.map(|(name, kind)| (name.to_owned(), kind.to_owned())).collect()
}

#[tokio::test]
async fn metrics_page_same_as_registry() {
    let fleet = fleet().await;
    ask(&fleet).await;
    let counters: &Counters = &fleet.routers[0].shared().counters;
    counters.arm_requests.with_label_values(&["e", "a", "ran"]).inc();
    counters.arm_tokens.with_label_values(&["e", "a", "yes"]).inc();
    let found = families(&scrape(&fleet).await);
    let rows = METRICS_PAGE.lines().filter_map(|it| it.strip_prefix("| `"));
    let documented: BTreeSet<&str> = rows.filter_map(|it| it.split('`').next()).collect();
    let names: BTreeSet<&str> = found.iter().map(|it| it.0.as_str()).collect();
    assert_eq!(documented, names);
    for (name, kind) in &found {
        assert_eq!(kind == "counter", name.ends_with("_total"), "{name} is a {kind}");
    }
}

#[test]
fn metrics_page_has_advice() {
    let rows = METRICS_PAGE.lines().filter(|it| it.starts_with("| `"));
    for row in rows {
        let last = row.trim_end_matches('|').rsplit('|').next().unwrap();
        assert!(last.trim().len() > 10, "{row}");
    }
}

#[tokio::test]
async fn control_seconds_and_memory_exported() {
    let fleet = fleet().await;
    let value = |text: &str, name: &str| -> f64 {
        let line = text.lines().find_map(|it| it.strip_prefix(name));
        line.unwrap().trim().parse().unwrap()
    };
    let text = scrape(&fleet).await;
    assert!(value(&text, "filberttiller_control_seconds_total ") > 0.0);
    assert!(value(&text, "filberttiller_memory_bytes ") > 1e6);
}

#[tokio::test]
async fn first_token_and_gaps_counted() {
    let fleet = fleet().await;
    let messages = [json!({ "role": "user", "content": "which reeds" })];
    let mut caller = Caller::new(&fleet.http, "dalisay", "c1");
    let turn = ChatTurn { messages: &messages, tokens: 6, stream: true };
    caller.send(fleet.routers[0].address(), &turn).await.unwrap();
    let text = scrape(&fleet).await;
    let count = |name: &str| {
        let line =
            text.lines().find_map(|it| it.strip_prefix(&format!("filberttiller_{name}_count ")));
        line.unwrap().parse::<u64>().unwrap()
    };
    assert_eq!(count("first_token_seconds"), 1);
    assert!((5..8).contains(&count("token_gap_seconds")), "{}", count("token_gap_seconds"));
}

#[tokio::test]
async fn metrics_page_rules_use_known_names() {
    let fleet = fleet().await;
    ask(&fleet).await;
    let families = families(&scrape(&fleet).await);
    let histograms = families.iter().filter(|it| it.1 == "histogram");
    let buckets: Vec<_> = histograms.map(|it| format!("{}_bucket", it.0)).collect();
    let rules = METRICS_PAGE.split("## Alert rules").nth(1).unwrap();
    let rows = METRICS_PAGE.lines().filter_map(|it| it.strip_prefix("| `"));
    let known = rows.filter_map(|it| it.split('`').next());
    let known: BTreeSet<&str> = known.chain(buckets.iter().map(String::as_str)).collect();
    let word = |it: char| !it.is_ascii_lowercase() && it != '_';
    let used: BTreeSet<&str> =
        rules.split(word).filter_map(|it| it.strip_prefix("filberttiller_")).collect();
    assert!(used.len() > 4 && used.is_subset(&known), "{used:?}");
}

#[tokio::test]
async fn organisations_bounded() {
    let fleet = fleet().await;
    for i in 0..80 {
        let url = format!("http://{}/v1/services/none/x", fleet.routers[0].address());
        let call = fleet.http.get(url).header(ORGANISATION_HEADER, format!("organisation-{i}"));
        call.send().await.unwrap();
    }
    let text = scrape(&fleet).await;
    let lines: Vec<_> = text
        .lines()
        .filter(|it| it.starts_with("filberttiller_organisation_requests_total{"))
        .collect();
    assert_eq!(lines.len(), 65);
    assert!(
        lines.contains(&r#"filberttiller_organisation_requests_total{organisation="others"} 16"#)
    );
}
