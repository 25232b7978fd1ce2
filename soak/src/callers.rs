//! Callers: they ask which addresses to use, keep the answer, and send requests.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reqwest::Client;
use serde_json::Value;
use standins::platform::fixture::HOST;
use tokio::time::sleep;

use crate::fleet::Fleet;

/// How long addresses are kept.
const KEEP_TIME: Duration = Duration::from_secs(2);
/// The same for callers that keep them longer than they were told, one in
/// `LONG_KEEPERS`.
const LONG_KEEP_TIME: Duration = Duration::from_secs(20);
/// One caller in so many keeps addresses for long.
const LONG_KEEPERS: u64 = 3;
/// Longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(6);
/// Longest pause between two requests of one caller.
const MOST_PAUSE_MS: u64 = 60;

/// Kind of a request, by its path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Read,
    Once,
    Stream,
    Restream,
}

impl Kind {
    const ALL: [Kind; 4] = [Kind::Read, Kind::Once, Kind::Stream, Kind::Restream];

    fn path(self) -> &'static str {
        match self {
            Kind::Read => "/read/x",
            Kind::Once => "/once/x",
            Kind::Stream => "/stream/x",
            Kind::Restream => "/restream/x",
        }
    }

    /// Whether a request may run only once.
    pub fn runs_once(self) -> bool {
        matches!(self, Kind::Once | Kind::Stream)
    }
}

/// What a caller saw of one request.
#[derive(Debug, Clone)]
pub struct Seen {
    pub id: String,
    pub kind: Kind,
    pub key: String,
    pub router: SocketAddr,
    pub sent: Instant,
    pub ended: Instant,
    /// Status of the answer; none when there was no head.
    pub status: Option<u16>,
    /// The whole body; none when it broke off.
    pub body: Option<String>,
    /// The signature and the id of the answer.
    pub signed: bool,
    pub answer_id: Option<String>,
}

/// All that callers saw, and whether they go on.
#[derive(Debug, Default)]
pub struct Book {
    pub seen: Mutex<Vec<Seen>>,
    pub stop: AtomicBool,
    next: AtomicU64,
}

/// One caller, until it is told to stop.
pub async fn call(fleet: Arc<Fleet>, book: Arc<Book>, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let http = Client::builder().no_proxy().timeout(PATIENCE).build();
    let http = http.expect("a client without special options");
    let long = seed.is_multiple_of(LONG_KEEPERS);
    let keep = if long { LONG_KEEP_TIME } else { KEEP_TIME };
    let mut known: (Instant, Vec<SocketAddr>) = (Instant::now(), Vec::new());
    while !book.stop.load(Ordering::Relaxed) {
        let old = known.1.is_empty() || known.0.elapsed() > keep;
        if old && let Some(found) = resolve(&fleet, &http, &mut random).await {
            known = (Instant::now(), found);
        }
        if let Some(router) = known.1.choose(&mut random).copied() {
            let seen = send(&fleet, &book, &http, router, &mut random).await;
            if seen.status.is_none() {
                known.1.retain(|it| *it != router);
            }
            book.seen.lock().unwrap().push(seen);
        }
        sleep(Duration::from_millis(random.random_range(0..MOST_PAUSE_MS))).await;
    }
}

async fn resolve(fleet: &Fleet, http: &Client, random: &mut ChaCha8Rng) -> Option<Vec<SocketAddr>> {
    let entries: Vec<SocketAddr> = {
        let routers = fleet.routers.lock().await;
        routers.iter().flatten().map(|it| it.entry).collect()
    };
    told_at(http, *entries.choose(random)?).await
}

/// The addresses that the router whose callers ask at `entry` tells.
pub async fn told_at(http: &Client, entry: SocketAddr) -> Option<Vec<SocketAddr>> {
    let url = format!("http://{entry}/resolve?name={HOST}&region=r&zone=a");
    let answer = http.get(url).timeout(Duration::from_secs(1)).send().await.ok()?;
    let body: Value = serde_json::from_slice(&answer.bytes().await.ok()?).ok()?;
    let all = body["addresses"].as_array()?;
    Some(all.iter().filter_map(|it| it.as_str()?.parse().ok()).collect())
}

async fn send(
    fleet: &Fleet,
    book: &Book,
    http: &Client,
    router: SocketAddr,
    random: &mut ChaCha8Rng,
) -> Seen {
    let kind = *Kind::ALL.choose(random).expect("there are kinds");
    let id = format!("r-{}", book.next.fetch_add(1, Ordering::Relaxed));
    let key = {
        let operator = fleet.operator.lock().unwrap();
        // Taken keys are tried too.
        operator.keys.choose(random).expect("there are keys").text.clone()
    };
    let call = http.post(format!("http://{router}{}", kind.path()));
    let call = call.header("host", HOST).header("request-id", &id).header("deadline-ms", "5000");
    let call = call.header("authorization", format!("Token {key}"));
    let part = random.random_range(0..20);
    let call = call.header("prompt-prefix", format!("a:100,{part:x}:900,{id}:10"));
    let sent = Instant::now();
    let mut seen = Seen {
        id,
        kind,
        key,
        router,
        sent,
        ended: sent,
        status: None,
        body: None,
        signed: false,
        answer_id: None,
    };
    if let Ok(answer) = call.body("words").send().await {
        seen.status = Some(answer.status().as_u16());
        seen.signed = answer.headers().contains_key("server-seal");
        let id = answer.headers().get("request-id");
        seen.answer_id = id.and_then(|it| it.to_str().ok()).map(str::to_owned);
        seen.body = answer.text().await.ok();
    }
    seen.ended = Instant::now();
    seen
}
