//! Callers: they resolve router addresses, cache them, and send requests.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reqwest::{Client, Response, Version};
use serde_json::Value;
use standins::platform::fixture::HOST;
use tokio::time::sleep;

use crate::fleet::Fleet;

/// How long callers cache addresses.
const CACHE_TIME: Duration = Duration::from_secs(2);
/// The same for callers that cache addresses longer than the router allows.
const STALE_CACHE_TIME: Duration = Duration::from_secs(20);
/// One caller in this many uses `STALE_CACHE_TIME`.
const STALE_CACHE_EVERY: u64 = 3;
/// One caller in this many uses HTTP/1.0, whose answers end with their connection.
const HTTP_10_EVERY: u64 = 5;
/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);
/// How often a caller takes a stream up.
const MAX_TAKE_UPS: usize = 2;
/// Maximum pause between two requests of one caller.
const MAX_PAUSE_MS: u64 = 60;

/// Kind of a request, which decides its path.
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

    /// Whether a request may run at most once.
    pub fn is_at_most_once(self) -> bool {
        matches!(self, Kind::Once | Kind::Stream)
    }
}

/// A stream that broke off and is taken up.
#[derive(Debug, Clone)]
pub struct TakenUp {
    /// Id of the attempt that brought the first event.
    pub first: String,
    /// Number of the last event that was received.
    pub last: u32,
}

/// One request as its caller saw it.
#[derive(Debug, Clone)]
pub struct RequestResult {
    pub id: String,
    pub kind: Kind,
    pub key: String,
    pub router: SocketAddr,
    pub sent: Instant,
    pub ended: Instant,
    /// Status of the answer; `None` without a response head.
    pub status: Option<u16>,
    /// Complete body; `None` when it broke off.
    pub body: Option<String>,
    /// The body as far as it was received.
    pub received: String,
    /// The stream that it takes up.
    pub taken_up: Option<TakenUp>,
    /// Whether the answer had a signature.
    pub is_signed: bool,
    /// Id of the server whose head the answer has.
    pub server: Option<String>,
    /// Whether that head said that the server leaves.
    pub says_leaving: bool,
    /// Request id in the answer.
    pub answer_id: Option<String>,
}

impl RequestResult {
    /// Numbers of the events received, and the texts after them.
    pub fn events(&self) -> impl Iterator<Item = (u32, &str)> {
        let events = self.received.split("\n\n").filter_map(|it| it.split_once("\ndata: "));
        events.filter_map(|(id, data)| Some((id.strip_prefix("id: ")?.parse().ok()?, data)))
    }

    /// How its stream can be taken up, if it broke off after an event.
    fn to_take_up(&self) -> Option<TakenUp> {
        if self.kind != Kind::Restream || self.body.is_some() {
            return None;
        }
        let former = self.taken_up.as_ref();
        let last = self.events().last().map(|(number, _)| number).or(former.map(|it| it.last))?;
        let first = former.map_or(&self.id, |it| &it.first).clone();
        Some(TakenUp { first, last })
    }
}

/// Results of all finished requests, and the flag that stops the callers.
#[derive(Debug, Default)]
pub struct ResultLog {
    pub results: Mutex<Vec<RequestResult>>,
    pub stop: AtomicBool,
    next_id: AtomicU64,
}

/// Runs one caller until `ResultLog::stop` is set.
pub async fn call(fleet: Arc<Fleet>, log: Arc<ResultLog>, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let http = Client::builder().no_proxy().timeout(REQUEST_TIMEOUT).build();
    let http = http.expect("a client without special options");
    let version = match seed.is_multiple_of(HTTP_10_EVERY) {
        true => Version::HTTP_10,
        false => Version::HTTP_11,
    };
    let is_stale = seed.is_multiple_of(STALE_CACHE_EVERY);
    let keep = if is_stale { STALE_CACHE_TIME } else { CACHE_TIME };
    let mut known: (Instant, Vec<SocketAddr>) = (Instant::now(), Vec::new());
    while !log.stop.load(Ordering::Relaxed) {
        let old = known.1.is_empty() || known.0.elapsed() > keep;
        if old && let Some(found) = resolve(&fleet, &http, &mut random).await {
            known = (Instant::now(), found);
        }
        if let Some(router) = known.1.choose(&mut random).copied() {
            let mut result = send(&fleet, &log, &http, version, router, &mut random, None).await;
            if result.status.is_none() {
                known.1.retain(|it| *it != router);
            }
            for _ in 0..MAX_TAKE_UPS {
                let taken_up = result.to_take_up().filter(|_| fleet.has_versions);
                let next = known.1.choose(&mut random).copied();
                let Some((taken_up, router)) = taken_up.zip(next) else {
                    break;
                };
                log.results.lock().unwrap().push(result);
                let taken_up = Some(taken_up);
                result = send(&fleet, &log, &http, version, router, &mut random, taken_up).await;
            }
            log.results.lock().unwrap().push(result);
        }
        sleep(Duration::from_millis(random.random_range(0..MAX_PAUSE_MS))).await;
    }
}

async fn resolve(fleet: &Fleet, http: &Client, random: &mut ChaCha8Rng) -> Option<Vec<SocketAddr>> {
    let entries: Vec<SocketAddr> = {
        let routers = fleet.routers.lock().await;
        routers.iter().flatten().map(|it| it.entry).collect()
    };
    resolve_at(http, *entries.choose(random)?).await
}

/// Resolves caller addresses at the router with the entry address `entry`.
pub async fn resolve_at(http: &Client, entry: SocketAddr) -> Option<Vec<SocketAddr>> {
    let url = format!("http://{entry}/resolve?name={HOST}&region=r&zone=a");
    let answer = http.get(url).timeout(Duration::from_secs(1)).send().await.ok()?;
    let body: Value = serde_json::from_slice(&answer.bytes().await.ok()?).ok()?;
    let all = body["addresses"].as_array()?;
    Some(all.iter().filter_map(|it| it.as_str()?.parse().ok()).collect())
}

async fn send(
    fleet: &Fleet,
    log: &ResultLog,
    http: &Client,
    version: Version,
    router: SocketAddr,
    random: &mut ChaCha8Rng,
    taken_up: Option<TakenUp>,
) -> RequestResult {
    let kind = match taken_up {
        Some(_) => Kind::Restream,
        None => *Kind::ALL.choose(random).expect("there are kinds"),
    };
    let id = format!("r-{}", log.next_id.fetch_add(1, Ordering::Relaxed));
    let key = {
        let operator = fleet.operator.lock().unwrap();
        // Includes revoked keys.
        operator.keys.choose(random).expect("there are keys").text.clone()
    };
    let call = http.post(format!("http://{router}{}", kind.path())).version(version);
    let call = call.header("host", HOST).header("request-id", &id).header("deadline-ms", "5000");
    let call = call.header("authorization", format!("Token {key}"));
    let part = random.random_range(0..20);
    let call = call.header("prompt-prefix", format!("a:100,{part:x}:900,{id}:10"));
    let call = match &taken_up {
        Some(it) => call.header("resumes", &it.first).header("last-event-id", it.last),
        None => call,
    };
    let sent = Instant::now();
    let mut result = RequestResult {
        id,
        kind,
        key,
        router,
        sent,
        ended: sent,
        status: None,
        body: None,
        received: String::new(),
        taken_up,
        is_signed: false,
        server: None,
        says_leaving: false,
        answer_id: None,
    };
    if let Ok(mut answer) = call.body("words").send().await {
        result.status = Some(answer.status().as_u16());
        result.is_signed = answer.headers().contains_key("server-seal");
        result.says_leaving = answer.headers().contains_key("server-leaving");
        let text = |name| Some(answer.headers().get(name)?.to_str().ok()?.to_owned());
        result.server = text("instance-id");
        result.answer_id = text("request-id");
        let is_complete = receive(&mut answer, &mut result.received).await;
        result.body = is_complete.then(|| result.received.clone());
    }
    result.ended = Instant::now();
    result
}

/// Receives a body; false if it breaks off.
async fn receive(answer: &mut Response, received: &mut String) -> bool {
    loop {
        match answer.chunk().await {
            Ok(Some(bytes)) => received.push_str(&String::from_utf8_lossy(&bytes)),
            Ok(None) => return true,
            Err(_) => return false,
        }
    }
}
