//! Orders to engines: which models and adapters they load and unload by tickets.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use filberttiller::controllers::ORDER_STREAM;
use filberttiller::daemon::Daemon;
use filberttiller::demo::{Fleet, FleetOptions};
use filberttiller::filters::{ORGANISATION_HEADER, VERDICT_HEADER};
use reqwest::Response;
use serde_json::{Value, json};
use standins::engine::{EngineStandin, Faults, Options};

use crate::support::{header, question};

/// Options of a fleet that sends orders often and has the control budget for it.
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
    options.settings.state_sync.gossip_every = Duration::from_millis(100);
    options.settings.state_sync.load_every = Duration::from_millis(50);
    options.settings.state_sync.budget = bytesize::ByteSize::mib(1);
    options.settings.orders.every = Duration::from_millis(50);
    options.settings.orders.hold = Duration::from_secs(20);
    options
}

/// Starts a fleet and waits until all routers know the loaded models of each engine.
pub(crate) async fn start(options: FleetOptions) -> Fleet {
    let fleet = Fleet::start(options).await.unwrap();
    let known = |it: &Daemon| {
        let view = it.shared().view.peek();
        view.pools.values().all(|it| it.loaded.iter().all(Option::is_some))
    };
    fleet.wait_until(|it| it.routers.iter().all(known)).await;
    fleet
}

/// A ticket with the model in `version` and further `versions`, on `copies` engines.
pub(crate) fn model(number: u64, version: &str, versions: &[&str], copies: usize) -> Value {
    json!({ "version": 1, "number": number, "objects": [{
        "kind": "model", "name": "assistant", "spec": {
            "pool": "assistant-llm", "version": version, "versions": versions, "copies": copies,
        } }] })
}

/// A ticket with an adapter of that model, on `copies` engines.
pub(crate) fn adapter(number: u64, version: &str, copies: usize) -> Value {
    json!({ "version": 1, "number": number, "objects": [{
        "kind": "adapter", "name": "voicing", "spec": {
            "model": "assistant", "version": version, "copies": copies,
        } }] })
}

/// Whether `engine` holds the model or adapter that requests address by `name`.
pub(crate) fn holds(engine: &EngineStandin, name: &str) -> bool {
    engine.load().loaded.iter().any(|it| {
        let held = if it.adapter.is_empty() { &it.model } else { &it.adapter };
        format!("{held}@{}", it.version) == name
    })
}

/// Number of engines that hold the model or adapter `name`.
pub(crate) fn copies(fleet: &Fleet, name: &str) -> usize {
    fleet.engines.iter().filter(|it| holds(it, name)).count()
}

/// Sends router `router` a request for a short answer of `model`.
pub(crate) async fn request(fleet: &Fleet, router: usize, model: &str) -> Response {
    let url = format!("http://{}/v1/chat/completions", fleet.routers[router].address());
    let body = json!({ "model": model, "messages": question("reeds"), "max_tokens": 4 });
    fleet.http.post(url).header(ORGANISATION_HEADER, "dalisay").json(&body).send().await.unwrap()
}

/// Waits until router 0 serves `model`; requests before that must be refused as not run.
pub(crate) async fn wait_until_served(fleet: &Fleet, model: &str) {
    loop {
        let reply = request(fleet, 0, model).await;
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

/// Records in the log that open and close claims.
pub(crate) fn records(fleet: &Fleet) -> Vec<Value> {
    fleet.log.page(ORDER_STREAM, 0).records.into_iter().map(|it| it.body).collect()
}

#[tokio::test]
async fn ticket_loads_model_then_adapter_and_serves() {
    let fleet = start(options(2, 3)).await;
    fleet.publish(&model(1, "v1", &[], 2)).await.unwrap();
    wait_until_served(&fleet, "assistant").await;
    fleet.wait_until(|it| copies(it, "assistant@v1") == 2).await;
    fleet.publish(&adapter(2, "a1", 1)).await.unwrap();
    wait_until_served(&fleet, "voicing").await;
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
    let ended_claims = |it: &Fleet| records(it).iter().filter(|it| it["done"].is_u64()).count();
    fleet.wait_until(|it| ended_claims(it) >= 3).await;
}

/// One ticket loads a new version beside the old one, the next puts it in force and
/// drops the old one: no request is refused meanwhile.
#[tokio::test]
async fn rollout_refuses_no_request() {
    let mut options = options(2, 4);
    options.engine.load_time = Duration::from_millis(100);
    let fleet = start(options).await;
    fleet.publish(&model(1, "v1", &[], 2)).await.unwrap();
    fleet.wait_until(|it| copies(it, "assistant@v1") == 2).await;
    wait_until_served(&fleet, "assistant").await;
    fleet.publish(&model(2, "v1", &["v2"], 2)).await.unwrap();
    while copies(&fleet, "assistant@v2") < 2 {
        assert!(request(&fleet, 0, "assistant").await.status().is_success());
    }
    wait_until_served(&fleet, "assistant@v2").await;
    fleet.publish(&model(3, "v2", &[], 2)).await.unwrap();
    while copies(&fleet, "assistant@v1") > 0 {
        assert!(request(&fleet, 0, "assistant").await.status().is_success());
    }
    assert!(copies(&fleet, "assistant@v2") >= 2);
}

/// One ticket replaces a version: the old one stays until the new one has all its copies.
#[tokio::test]
async fn replaced_version_unloaded_last() {
    let mut options = options(2, 3);
    options.engine.load_time = Duration::from_millis(50);
    let fleet = start(options).await;
    fleet.publish(&model(1, "v1", &[], 2)).await.unwrap();
    fleet.wait_until(|it| copies(it, "assistant@v1") == 2).await;
    fleet.publish(&model(2, "v2", &[], 3)).await.unwrap();
    let gone = |it: &Fleet| {
        let old = copies(it, "assistant@v1");
        assert!(old >= 2 || copies(it, "assistant@v2") == 3);
        old == 0
    };
    fleet.wait_until(gone).await;
}

/// An engine leaves while one of three copies is being unloaded as surplus: a copy must
/// stay at all times, and the leaving engine gets no order.
#[tokio::test]
async fn leaving_engine_replaced_without_losing_last_copy() {
    let fleet = start(options(2, 3)).await;
    fleet.publish(&model(1, "v1", &[], 3)).await.unwrap();
    fleet.wait_until(|it| copies(it, "assistant@v1") == 3).await;
    fleet.publish(&model(2, "v1", &[], 2)).await.unwrap();
    fleet.list.leave("assistant-llm-0");
    let is_marked = |it: &Daemon| {
        let view = it.shared().view.peek();
        let pool = &view.pools["assistant-llm"];
        let mut both = pool.engines.iter().zip(&pool.servers);
        both.any(|(it, server)| it.leaving && server.name == "assistant-llm-0")
    };
    fleet.wait_until(|it| it.routers.iter().all(is_marked)).await;
    let before = fleet.engines[0].orders().len();
    let live = |it: &Fleet| it.engines[1..].iter().filter(|it| holds(it, "assistant@v1")).count();
    let done = |it: &Fleet| {
        assert!(live(it) > 0);
        live(it) == 2
    };
    fleet.wait_until(done).await;
    wait_until_served(&fleet, "assistant").await;
    assert_eq!(fleet.engines[0].orders().len(), before, "no order to a leaving engine");
}

#[tokio::test]
async fn concurrent_loads_limited_across_routers() {
    let mut options = options(4, 10);
    options.engine.load_time = Duration::from_millis(80);
    options.settings.orders.loads = 2;
    let store = Arc::clone(&options.engine.store);
    let fleet = start(options).await;
    fleet.publish(&model(1, "v1", &[], 10)).await.unwrap();
    fleet.wait_until(|it| copies(it, "assistant@v1") == 10).await;
    assert!(store.max_concurrent() <= 2, "{} loads at once", store.max_concurrent());
    assert_eq!(store.total(), 10);
}

/// A request for a model that no engine holds is refused at once, also while requests
/// for another model wait in the queue.
#[tokio::test]
async fn not_loaded_model_refused_without_queueing() {
    let mut options = options(1, 1);
    options.settings.orders.every = Duration::from_secs(3_600);
    options.engine.slots = 1;
    let other = json!({ "model": "other", "version": "v1", "adapter": "" });
    options.engine.loaded = vec![serde_json::from_value(other).unwrap()];
    let fleet = start(options).await;
    let mut ticket = model(1, "v1", &[], 1);
    let other = json!({ "kind": "model", "name": "other", "spec": { "pool": "assistant-llm" } });
    ticket["objects"].as_array_mut().unwrap().push(other);
    fleet.publish(&ticket).await.unwrap();
    fleet.engines[0].set_faults(Faults { slow: 1_000, ..Faults::default() });
    let waiting = |it: &Fleet| it.routers[0].shared().admission.waiting();
    let others = futures_util::future::join_all((0..8).map(|_| request(&fleet, 0, "other")));
    let refused = async {
        fleet.wait_until(|it| waiting(it) > 0).await;
        let reply = request(&fleet, 0, "assistant").await;
        assert_eq!(header(&reply, VERDICT_HEADER), "not_run");
        let body: Value = reply.json().await.unwrap();
        assert_eq!(body["error"]["reason"], "not_loaded", "{body}");
        fleet.engines[0].set_faults(Faults::default());
    };
    tokio::join!(others, refused);
}
