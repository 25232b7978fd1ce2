//! All faults at once; the content and verdict of every answer are checked.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use filberttiller::demo::{Fleet, FleetOptions, prompt};
use filberttiller::filters::{
    CHAT_HEADER, DEADLINE_HEADER, KEY_HEADER, ORGANISATION_HEADER, REQUEST_HEADER, VERDICT_HEADER,
};
use futures_util::StreamExt;
use futures_util::stream;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use serde_json::{Value, json};
use standins::engine::{Faults, answer};
use standins::service;
use tokio::time::sleep;

use crate::support::{header, question, small, start};

/// Totals of one run.
#[derive(Debug, Default)]
struct Totals {
    requests: AtomicUsize,
    complete: AtomicUsize,
    refused: AtomicUsize,
    wrong: AtomicUsize,
    false_not_run: AtomicUsize,
    false_ran: AtomicUsize,
}

impl Totals {
    /// Counts an error answer, whose request ran `runs` times.
    fn refusal(&self, verdict: &str, runs: u32) {
        self.refused.fetch_add(1, Ordering::Relaxed);
        if verdict == "not_run" && runs > 0 {
            self.false_not_run.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn answer(&self, right: bool, runs: u32) {
        self.complete.fetch_add(1, Ordering::Relaxed);
        if !right {
            self.wrong.fetch_add(1, Ordering::Relaxed);
        }
        if runs == 0 {
            self.false_ran.fetch_add(1, Ordering::Relaxed);
        }
    }

    async fn chat(&self, fleet: &Fleet, rng: &mut ChaCha8Rng, name: &str) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let (stream, tokens) = (rng.random_bool(0.5), rng.random_range(1..12));
        let router = &fleet.routers[rng.random_range(0..fleet.routers.len())];
        let messages = question(name);
        let body = json!({
            "model": "assistant", "stream": stream, "max_tokens": tokens, "messages": messages,
        });
        let request = fleet
            .http
            .post(format!("http://{}/v1/chat/completions", router.address()))
            .header(ORGANISATION_HEADER, "dalisay")
            .header(CHAT_HEADER, name)
            .header(DEADLINE_HEADER, rng.random_range(20..1_500))
            .json(&body);
        let reply = request.send().await.unwrap();
        let (id, verdict) = (header(&reply, REQUEST_HEADER), header(&reply, VERDICT_HEADER));
        let good = reply.status().is_success();
        let body = reply.text().await.unwrap();
        let runs = fleet.engines.iter().map(|it| it.runs(&id)).sum();
        let expected = answer(&prompt(&messages), tokens);
        if !good {
            return self.refusal(&verdict, runs);
        }
        if !stream {
            let body: Value = serde_json::from_str(&body).unwrap();
            return self.answer(body["choices"][0]["message"]["content"] == expected, runs);
        }
        let (got, end) = read_stream(&body);
        match end {
            End::Whole => self.answer(got == expected, runs),
            End::Error(verdict) => {
                if !expected.starts_with(&got) {
                    self.wrong.fetch_add(1, Ordering::Relaxed);
                }
                self.refusal(&verdict, runs);
            }
            End::None => panic!("the stream has neither end mark nor error: {body}"),
        }
    }

    async fn reserve(&self, fleet: &Fleet, rng: &mut ChaCha8Rng, name: &str) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        for send in 1..=MAX_SENDS {
            let router = &fleet.routers[rng.random_range(0..fleet.routers.len())];
            let deadline = rng.random_range(20..400);
            let (good, verdict, body) = reserve_at(fleet, router.address(), name, deadline).await;
            let runs = fleet.services.iter().map(|it| it.runs(name)).sum();
            assert!(runs <= 1, "{name} ran {runs} times");
            if good {
                return self.answer(body["item"] == name, runs);
            }
            if verdict == "not_run" && runs > 0 && send < MAX_SENDS {
                self.false_not_run.fetch_add(1, Ordering::Relaxed);
            }
            if send == MAX_SENDS {
                self.refusal(&verdict, runs);
            }
        }
    }
}

/// Maximum number of times that one reservation is sent.
const MAX_SENDS: usize = 3;

/// Sends a reservation to one router. Returns whether it succeeded, the verdict and
/// the body.
async fn reserve_at(
    fleet: &Fleet,
    router: SocketAddr,
    name: &str,
    deadline: u64,
) -> (bool, String, Value) {
    let reply = fleet
        .http
        .post(format!("http://{router}/v1/services/stockroom/reservations"))
        .header(ORGANISATION_HEADER, "dalisay")
        .header(KEY_HEADER, name)
        .header(DEADLINE_HEADER, deadline)
        .json(&json!({ "item": name, "quantity": 1 }))
        .send()
        .await
        .unwrap();
    let verdict = header(&reply, VERDICT_HEADER);
    (reply.status().is_success(), verdict, reply.json().await.unwrap())
}

enum End {
    Whole,
    Error(String),
    None,
}

/// Text and end of a complete stream.
fn read_stream(body: &str) -> (String, End) {
    let mut got = String::new();
    for event in body.split("\n\n") {
        let data = event.lines().find_map(|it| it.strip_prefix("data: ")).unwrap_or("null");
        if data == "[DONE]" {
            return (got, End::Whole);
        }
        let data: Value = serde_json::from_str(data).unwrap();
        if event.starts_with("event: error") {
            return (got, End::Error(data["error"]["verdict"].as_str().unwrap().to_owned()));
        }
        got.push_str(data["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    (got, End::None)
}

/// Random faults of one engine.
fn engine_faults(rng: &mut ChaCha8Rng) -> Faults {
    let some = |rng: &mut ChaCha8Rng| rng.random_bool(0.12);
    Faults {
        leaving: false,
        slow: if some(rng) { 20 } else { 0 },
        refuse: some(rng),
        hang: rng.random_bool(0.05),
        crash_on: some(rng).then(|| "7".to_owned()),
        restart_ms: 30,
        cut_after: some(rng).then(|| rng.random_range(0..6)),
        drop_after: some(rng).then(|| rng.random_range(1..4)),
        wrong_id: some(rng),
        repeat_token: some(rng),
        skip_token: some(rng),
        lost_orders: 0,
    }
}

fn service_faults(rng: &mut ChaCha8Rng) -> service::Faults {
    service::Faults {
        delay_ms: if rng.random_bool(0.2) { 30 } else { 0 },
        lost_replies: rng.random_range(0..3),
        cut_replies: rng.random_range(0..2),
        refuse: rng.random_bool(0.2),
    }
}

/// Keeps setting new random faults on all servers.
async fn vary_faults(fleet: &Fleet, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    loop {
        for it in &fleet.engines {
            it.set_faults(engine_faults(&mut rng));
            if rng.random_bool(0.03) {
                it.crash(Duration::from_millis(40));
            }
        }
        for it in &fleet.services {
            it.set_faults(service_faults(&mut rng));
        }
        sleep(Duration::from_millis(25)).await;
    }
}

#[rstest]
#[case(1)]
#[case(2)]
#[tokio::test]
async fn verdicts_under_all_faults(#[case] seed: u64) {
    const REQUESTS: usize = 600;
    let options = FleetOptions { routers: 3, engines: 6, services: 2, ..small() };
    let fleet = start(options).await;
    let totals = Totals::default();
    let calls = stream::iter(0..REQUESTS).for_each_concurrent(24, async |i| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed << 32 | i as u64);
        if i % 3 == 0 {
            totals.reserve(&fleet, &mut rng, &format!("order-{i}")).await;
        } else {
            totals.chat(&fleet, &mut rng, &format!("chat {i}")).await;
        }
    });
    tokio::select! {
        () = calls => {}
        () = vary_faults(&fleet, seed) => {}
    }
    println!("{totals:?}");
    let count = |it: &AtomicUsize| it.load(Ordering::Relaxed);
    assert_eq!(count(&totals.requests), REQUESTS);
    assert_eq!(count(&totals.complete) + count(&totals.refused), REQUESTS);
    assert!(count(&totals.complete) > REQUESTS / 10);
    assert_eq!(
        (count(&totals.wrong), count(&totals.false_not_run), count(&totals.false_ran)),
        (0, 0, 0)
    );
}
