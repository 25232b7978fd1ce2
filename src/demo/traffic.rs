//! Traffic of the demonstration; every caller checks its answers.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::{StreamExt, stream};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::time::{interval, sleep};

use crate::demo::{Caller, ChatTurn, Fleet};
use crate::filters::{KEY_HEADER, ORGANISATION_HEADER};

/// Chats that run at the same time.
const CALLERS: usize = 16;
/// Maximum number of turns of one chat.
const MAX_TURNS: usize = 5;
/// Number of reservations.
const RESERVATIONS: usize = 40;
/// Time between two samples of the load.
const SAMPLE_EVERY: Duration = Duration::from_millis(20);

/// Results of the traffic, as the callers saw them.
#[derive(Debug, Default)]
pub struct TrafficResult {
    /// Number of chat requests.
    pub requests: usize,
    /// Number of reservations.
    pub reservations: usize,
    /// Faults of the requests that failed.
    pub failures: Vec<String>,
    /// Load of the busiest engine divided by the mean, for each sample in which at least as many
    /// requests as engines were running.
    pub skews: Vec<f64>,
}

/// Runs `chats` chats and the reservations until all have ended.
pub async fn run_traffic(fleet: &Fleet, seed: u64, chats: usize) -> TrafficResult {
    let done = AtomicUsize::new(0);
    let chat_calls = stream::iter(0..chats)
        .map(|i| chat(fleet, seed, i, &done))
        .buffer_unordered(CALLERS)
        .collect::<Vec<_>>();
    let reservations = stream::iter(0..RESERVATIONS)
        .map(|i| reserve(fleet, i))
        .buffer_unordered(4)
        .collect::<Vec<_>>();
    let calls = async { tokio::join!(chat_calls, reservations) };
    let mut skews = Vec::new();
    let (chat_results, reservation_results) = tokio::select! {
        results = calls => results,
        () = sample(fleet, &mut skews) => unreachable!("sampling never ends"),
    };
    let mut result = TrafficResult { skews, ..TrafficResult::default() };
    for it in chat_results {
        result.requests += it.0;
        result.failures.extend(it.1);
    }
    for it in reservation_results {
        result.reservations += 1;
        result.failures.extend(it.err());
    }
    result
}

/// Samples the true load of the engines until it is cancelled.
async fn sample(fleet: &Fleet, skews: &mut Vec<f64>) {
    let mut tick = interval(SAMPLE_EVERY);
    loop {
        tick.tick().await;
        let loads: Vec<_> = fleet.engines.iter().map(|it| it.load()).collect();
        let running: usize = loads.iter().map(|it| it.running).sum();
        let total: u64 = loads.iter().map(|it| it.tokens).sum();
        let max = loads.iter().map(|it| it.tokens).max().unwrap_or(0);
        if running >= loads.len() {
            skews.push(max as f64 * loads.len() as f64 / total as f64);
        }
    }
}

/// Runs one chat; returns the number of its requests and the faults of those that failed.
async fn chat(fleet: &Fleet, seed: u64, index: usize, done: &AtomicUsize) -> (usize, Vec<String>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ ((index as u64) << 20));
    let turns = rng.random_range(1..=MAX_TURNS);
    let words = rng.random_range(20..200);
    let mut messages = vec![message("user", &text(&mut rng, words))];
    let mut caller = Caller::new(&fleet.http, "dalisay", &format!("chat-{index}"));
    let mut failures = Vec::new();
    for i in 0..turns {
        let tokens = rng.random_range(8..48);
        let turn = ChatTurn { messages: &messages, tokens, stream: rng.random_bool(0.5) };
        match send_turn(fleet, &mut caller, index, &turn).await {
            Ok(reply) => messages.push(message("assistant", &reply)),
            Err(e) => failures.push(format!("chat {index} turn {i}: {e}")),
        }
        messages.push(message("user", &text(&mut rng, 12)));
        sleep(Duration::from_millis(rng.random_range(5..60))).await;
    }
    let count = done.fetch_add(1, Ordering::Relaxed) + 1;
    if count.is_multiple_of(40) {
        println!("  {count} chats done");
    }
    (turns, failures)
}

/// Sends one turn to the address that a router names.
async fn send_turn(
    fleet: &Fleet,
    caller: &mut Caller,
    index: usize,
    turn: &ChatTurn<'_>,
) -> Result<String, String> {
    let first = &fleet.routers[index % fleet.routers.len()];
    let router = caller.entry_address(first.address()).await?;
    caller.send(router, turn).await
}

fn message(role: &str, content: &str) -> Value {
    json!({ "role": role, "content": content })
}

fn text(rng: &mut ChaCha8Rng, words: usize) -> String {
    let words: Vec<String> = (0..words).map(|_| format!("w{}", rng.random::<u32>())).collect();
    words.join(" ")
}

/// Makes one reservation and checks that it ran exactly once.
async fn reserve(fleet: &Fleet, index: usize) -> Result<(), String> {
    let router = &fleet.routers[index % fleet.routers.len()];
    let key = format!("reservation-{index}");
    let url = format!("http://{}/v1/services/stockroom/reservations", router.address());
    let reply = fleet
        .http
        .post(url)
        .header(ORGANISATION_HEADER, "dalisay")
        .header(KEY_HEADER, &key)
        .json(&json!({ "item": format!("reed-{index}"), "quantity": 1 }))
        .send()
        .await
        .map_err(|e| e.to_string())?;
    if !reply.status().is_success() {
        return Err(format!("reservation {index}: {}", reply.text().await.unwrap_or_default()));
    }
    match fleet.services.iter().map(|it| it.runs(&key)).sum::<u32>() {
        1 => Ok(()),
        runs => Err(format!("reservation {index} ran {runs} times")),
    }
}
