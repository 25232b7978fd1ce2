//! Orders: what engines load and unload as tickets say.

use std::collections::BTreeSet;
use std::time::Duration;

use filberttiller::controllers::ORDER_STREAM;
use filberttiller::daemon::Daemon;
use filberttiller::demo::{Fleet, FleetOptions};
use filberttiller::filters::{ORGANISATION_HEADER, VERDICT_HEADER};
use reqwest::Response;
use serde_json::{Value, json};
use standins::engine::{EngineStandin, Options};

use crate::support::{header, question};

/// A fleet that gives orders often and has bytes enough for it.
pub(crate) fn options(routers: usize, engines: usize) -> FleetOptions {
    let mut options = FleetOptions {
        routers,
        engines,
        canaries: 0,
        services: 0,
        engine: Options { load_lag: Duration::from_millis(20), ..Options::default() },
        ..FleetOptions::default()
    };
    options.settings.traffic.threads = 1;
    options.settings.upkeep.gossip_every = Duration::from_millis(100);
    options.settings.upkeep.load_every = Duration::from_millis(50);
    options.settings.upkeep.budget = bytesize::ByteSize::mib(1);
    options.settings.orders.every = Duration::from_millis(50);
    options.settings.orders.hold = Duration::from_secs(20);
    options
}

/// Starts a fleet whose routers all know what each engine holds.
pub(crate) async fn start(options: FleetOptions) -> Fleet {
    let fleet = Fleet::start(options).await.unwrap();
    let known = |it: &Daemon| {
        let view = it.shared().view.peek();
        view.pools.values().all(|it| it.holds.iter().all(Option::is_some))
    };
    fleet.wait_until(|it| it.routers.iter().all(known)).await;
    fleet
}

/// The model in `version`, with further versions, on `copies` engines.
pub(crate) fn model(number: u64, version: &str, versions: &[&str], copies: usize) -> Value {
    json!({ "version": 1, "number": number, "objects": [{
        "kind": "model", "name": "assistant", "spec": {
            "pool": "assistant-llm", "version": version, "versions": versions, "copies": copies,
        } }] })
}

/// The adapter on top of it.
pub(crate) fn adapter(number: u64, version: &str, copies: usize) -> Value {
    json!({ "version": 1, "number": number, "objects": [{
        "kind": "adapter", "name": "voicing", "spec": {
            "model": "assistant", "version": version, "copies": copies,
        } }] })
}

/// Whether `engine` holds what requests call `name`.
pub(crate) fn holds(engine: &EngineStandin, name: &str) -> bool {
    engine.load().loaded.iter().any(|it| {
        let held = if it.adapter.is_empty() { &it.model } else { &it.adapter };
        format!("{held}@{}", it.version) == name
    })
}

/// Engines that hold what requests call `name`.
pub(crate) fn copies(fleet: &Fleet, name: &str) -> usize {
    fleet.engines.iter().filter(|it| holds(it, name)).count()
}

/// Asks router `router` for a short answer of `model`.
pub(crate) async fn ask(fleet: &Fleet, router: usize, model: &str) -> Response {
    let url = format!("http://{}/v1/chat/completions", fleet.routers[router].address());
    let body = json!({ "model": model, "messages": question("reeds"), "max_tokens": 4 });
    fleet.http.post(url).header(ORGANISATION_HEADER, "dalisay").json(&body).send().await.unwrap()
}

/// Waits until router 0 serves `model`; what it refuses before is "not run".
pub(crate) async fn serves(fleet: &Fleet, model: &str) {
    loop {
        let reply = ask(fleet, 0, model).await;
        if reply.status().is_success() {
            return;
        }
        assert_eq!(header(&reply, VERDICT_HEADER), "not_run");
        let body: Value = reply.json().await.unwrap();
        assert_eq!(body["error"]["reason"], "not_loaded", "{body}");
        assert_eq!(body["error"]["retry_ms"], 2_000);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Claims and ends of claims in the log.
pub(crate) fn records(fleet: &Fleet) -> Vec<Value> {
    fleet.log.page(ORDER_STREAM, 0).records.into_iter().map(|it| it.body).collect()
}

#[tokio::test]
async fn ticket_loads_model_then_adapter_and_serves() {
    let fleet = start(options(2, 3)).await;
    fleet.publish(&model(1, "v1", &[], 2)).await.unwrap();
    serves(&fleet, "assistant").await;
    fleet.wait_until(|it| copies(it, "assistant@v1") == 2).await;
    fleet.publish(&adapter(2, "a1", 1)).await.unwrap();
    serves(&fleet, "voicing").await;
    fleet.wait_until(|it| copies(it, "voicing@a1") == 1).await;
    let both = |it: &&EngineStandin| holds(it, "voicing@a1") && holds(it, "assistant@v1");
    assert_eq!(fleet.engines.iter().filter(both).count(), 1);
    let claims = records(&fleet)
        .into_iter()
        .filter_map(|it| it["claim"]["what"].as_str().map(str::to_owned));
    assert_eq!(
        claims.collect::<BTreeSet<_>>(),
        BTreeSet::from(["assistant@v1".to_owned(), "voicing@a1".to_owned()])
    );
    let ended = |it: &Fleet| records(it).iter().filter(|it| it["done"].is_u64()).count();
    fleet.wait_until(|it| ended(it) >= 3).await;
}
