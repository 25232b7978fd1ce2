//! Metrics and the page about them.

use std::collections::BTreeSet;

use filberttiller::demo::{Ask, Caller, Fleet, FleetOptions};
use filberttiller::filters::{Counters, ORGANISATION_HEADER};
use serde_json::json;

const METRICS_PAGE: &str = include_str!("../../docs/METRICS.md");

async fn fleet() -> Fleet {
    let options = FleetOptions { routers: 1, engines: 1, canaries: 1, ..FleetOptions::default() };
    let fleet = Fleet::start(options).await.unwrap();
    fleet.publish_first().await.unwrap();
    fleet
}

async fn scrape(fleet: &Fleet) -> String {
    let url = format!("http://{}/metrics", fleet.routers[0].control());
    fleet.http.get(url).send().await.unwrap().text().await.unwrap()
}

async fn ask(fleet: &Fleet) {
    let messages = [json!({ "role": "user", "content": "which reeds" })];
    let mut caller = Caller::new(&fleet.http, "dalisay", "c1");
    let ask = Ask { messages: &messages, tokens: 4, stream: false };
    caller.ask(fleet.routers[0].address(), &ask).await.unwrap();
}

/// Names and kinds of all metrics in a text.
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
    let told: BTreeSet<&str> = rows.filter_map(|it| it.split('`').next()).collect();
    let names: BTreeSet<&str> = found.iter().map(|it| it.0.as_str()).collect();
    assert_eq!(told, names);
    for (name, kind) in &found {
        assert_eq!(kind == "counter", name.ends_with("_total"), "{name} is a {kind}");
    }
}

#[tokio::test]
async fn metrics_page_rules_use_known_names() {
    let rules = METRICS_PAGE.split("## Alert rules").nth(1).unwrap();
    let rows = METRICS_PAGE.lines().filter_map(|it| it.strip_prefix("| `"));
    let known: BTreeSet<&str> = rows.filter_map(|it| it.split('`').next()).collect();
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
