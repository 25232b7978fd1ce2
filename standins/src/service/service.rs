//! HTTP server of the plain service.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;
use warp::Filter;
use warp::http::{Response, StatusCode};

use crate::server::{Server, Switch, bad_request, json_reply, not_found, status_reply};

/// How long the caller of a lost reply is left waiting.
const LOST_REPLY_TIME: Duration = Duration::from_secs(3_600);

/// Faults of the service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Extra delay before each answer, in milliseconds.
    pub delay_ms: u64,
    /// Number of next reservations that take effect but get no reply.
    pub lost_replies: u32,
    /// Number of next reservations that take effect, then close all connections of the service.
    pub cut_replies: u32,
    /// Answers 503 to reservations without running them.
    pub refuse: bool,
}

/// A reservation or a deposit charge.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reservation {
    /// Reserved item.
    pub item: String,
    /// Number of items.
    pub quantity: u32,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    checks_keys: bool,
    /// Number of runs by idempotency key; the empty key counts requests without one.
    runs: HashMap<String, u32>,
    /// First answer by key; only a service that checks keys stores them.
    answers: HashMap<String, u64>,
    next: u64,
}

/// Plain service on a loopback address.
#[derive(Debug)]
pub struct ServiceStandin {
    server: Server,
    state: Arc<Mutex<State>>,
}

impl ServiceStandin {
    /// Starts a service. With `checks_keys` it runs each key once and repeats the first answer.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub async fn start(addr: SocketAddr, checks_keys: bool) -> io::Result<ServiceStandin> {
        let state = Arc::new(Mutex::new(State { checks_keys, ..State::default() }));
        let switch = Arc::new(Switch::default());
        let it = Arc::clone(&state);
        let connections = Arc::clone(&switch);
        let reserve = warp::post()
            .and(warp::path!("reservations"))
            .and(warp::header::optional("idempotency-key"))
            .and(warp::body::bytes())
            .then(move |key: Option<String>, body: Bytes| {
                reserve(Arc::clone(&it), Arc::clone(&connections), key.unwrap_or_default(), body)
            });
        let it = Arc::clone(&state);
        let stock = warp::get().and(warp::path!("stock" / String)).then(move |item: String| {
            let delay = it.lock().unwrap().faults.delay_ms;
            async move {
                sleep(Duration::from_millis(delay)).await;
                json_reply(StatusCode::OK, &stock_of(&item))
            }
        });
        let it = Arc::clone(&state);
        let faults = warp::post().and(warp::path!("faults")).and(warp::body::json()).map(
            move |faults: Faults| {
                it.lock().unwrap().faults = faults;
                json_reply(StatusCode::OK, &true)
            },
        );
        let routes = reserve.or(stock).unify().or(faults).unify().recover(not_found).unify();
        let server = Server::start(addr, switch, routes).await?;
        Ok(ServiceStandin { server, state })
    }

    /// Address on which the service listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Switch that closes its connections.
    pub fn switch(&self) -> &Switch {
        self.server.switch()
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state.lock().unwrap().faults = faults;
    }

    /// Number of runs of the reservation with `key`.
    pub fn runs(&self, key: &str) -> u32 {
        self.state.lock().unwrap().runs.get(key).copied().unwrap_or(0)
    }

    /// Maximum number of runs of one key, and the number of keys.
    pub fn max_runs(&self) -> (u32, usize) {
        let state = self.state.lock().unwrap();
        (state.runs.values().copied().max().unwrap_or(0), state.runs.len())
    }
}

/// Stock answer for `item`; a fixed function of its name.
fn stock_of(item: &str) -> serde_json::Value {
    let count = item.bytes().map(u32::from).sum::<u32>() % 100;
    serde_json::json!({ "item": item, "count": count })
}

async fn reserve(
    state: Arc<Mutex<State>>,
    switch: Arc<Switch>,
    key: String,
    body: Bytes,
) -> Response<Bytes> {
    let Ok(wanted) = serde_json::from_slice::<Reservation>(&body) else {
        return bad_request("a reservation has `item` and `quantity`");
    };
    let delay = state.lock().unwrap().faults.delay_ms;
    sleep(Duration::from_millis(delay)).await;
    let (number, lost, cut) = {
        let mut state = state.lock().unwrap();
        if state.faults.refuse {
            return status_reply(StatusCode::SERVICE_UNAVAILABLE, "not taking reservations");
        }
        let number = run(&mut state, &key);
        let lost = consume(&mut state.faults.lost_replies);
        let cut = consume(&mut state.faults.cut_replies);
        (number, lost, cut)
    };
    if cut {
        switch.down();
        switch.up();
        sleep(LOST_REPLY_TIME).await;
    }
    if lost {
        sleep(LOST_REPLY_TIME).await;
    }
    json_reply(
        StatusCode::OK,
        &serde_json::json!({ "number": number, "item": wanted.item, "quantity": wanted.quantity }),
    )
}

/// Runs one reservation and returns its number. A service that checks keys does not run a
/// key again.
fn run(state: &mut State, key: &str) -> u64 {
    if state.checks_keys
        && let Some(number) = state.answers.get(key)
    {
        return *number;
    }
    state.next += 1;
    let number = state.next;
    *state.runs.entry(key.to_owned()).or_default() += 1;
    if state.checks_keys && !key.is_empty() {
        state.answers.insert(key.to_owned(), number);
    }
    number
}

/// Decrements a fault counter; false when it was 0.
fn consume(count: &mut u32) -> bool {
    let was_set = *count > 0;
    *count = count.saturating_sub(1);
    was_set
}
