//! The service itself.

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

/// How long a caller whose reply is lost is left waiting.
const LOST_REPLY: Duration = Duration::from_secs(3_600);

/// Faults of the service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Extra time before each answer, in milliseconds.
    pub delay_ms: u64,
    /// This many coming reservations take effect but lose their reply.
    pub lost_replies: u32,
    /// This many coming reservations take effect, then the connection is cut.
    pub cut_replies: u32,
    /// Answers 503 before doing anything.
    pub refuse: bool,
}

/// A reservation or a deposit charge.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reservation {
    /// What is reserved.
    pub item: String,
    /// How many.
    pub quantity: u32,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    checks_keys: bool,
    /// Times that a reservation ran, by operation key (empty key: no key given).
    runs: HashMap<String, u32>,
    /// First answers, kept only by a service that checks keys.
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
    /// Starts a service; `checks_keys` makes it refuse to run a key twice by itself.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub async fn start(addr: SocketAddr, checks_keys: bool) -> io::Result<ServiceStandin> {
        let state = Arc::new(Mutex::new(State { checks_keys, ..State::default() }));
        let switch = Arc::new(Switch::default());
        let it = Arc::clone(&state);
        let cutter = Arc::clone(&switch);
        let reserve = warp::post()
            .and(warp::path!("reservations"))
            .and(warp::header::optional("idempotency-key"))
            .and(warp::body::bytes())
            .then(move |key: Option<String>, body: Bytes| {
                reserve(Arc::clone(&it), Arc::clone(&cutter), key.unwrap_or_default(), body)
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

    /// Where the service answers.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// The switch that cuts its connections.
    pub fn switch(&self) -> &Switch {
        self.server.switch()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state.lock().unwrap().faults = faults;
    }

    /// Times that the reservation with `key` ran.
    pub fn runs(&self, key: &str) -> u32 {
        self.state.lock().unwrap().runs.get(key).copied().unwrap_or(0)
    }

    /// The largest number of runs of any one key, and the number of keys.
    pub fn max_runs(&self) -> (u32, usize) {
        let state = self.state.lock().unwrap();
        (state.runs.values().copied().max().unwrap_or(0), state.runs.len())
    }
}

/// The stock answer for `item`; the same every time.
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
    let Ok(order) = serde_json::from_slice::<Reservation>(&body) else {
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
        let lost = take(&mut state.faults.lost_replies);
        let cut = take(&mut state.faults.cut_replies);
        (number, lost, cut)
    };
    if cut {
        switch.down();
        switch.up();
        sleep(LOST_REPLY).await;
    }
    if lost {
        sleep(LOST_REPLY).await;
    }
    json_reply(
        StatusCode::OK,
        &serde_json::json!({ "number": number, "item": order.item, "quantity": order.quantity }),
    )
}

/// Runs one reservation and returns its number.
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

/// Takes one from a fault counter.
fn take(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}
