//! Calls that make a reservation under an idempotency key, and a fleet that serves them.

use std::net::SocketAddr;
use std::time::Duration;

use filberttiller::demo::{Fleet, FleetOptions};
use filberttiller::filters::{DEADLINE_HEADER, KEY_HEADER, ORGANISATION_HEADER, VERDICT_HEADER};
use filberttiller::wire::NewKey;
use serde_json::{Value, json};
use standins::service::Faults as ServiceFaults;

/// Response of a call, as the caller sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct CallResult {
    pub status: u16,
    pub verdict: String,
    /// Reason of an error, else empty.
    pub reason: String,
    pub retry: bool,
    pub body: Value,
}

impl CallResult {
    pub fn is(&self, verdict: &str, reason: &str) -> bool {
        self.verdict == verdict && self.reason == reason
    }
}

/// One reservation; without `key`, the call is not protected against repeats.
#[derive(Debug, Clone, Copy)]
pub struct Reservation<'a> {
    pub key: Option<&'a str>,
    pub quantity: u32,
    pub deadline_ms: u64,
}

pub fn reservation(key: &str) -> Reservation<'_> {
    Reservation { key: Some(key), quantity: 1, deadline_ms: 20_000 }
}

pub async fn reserve(
    fleet: &Fleet,
    router: SocketAddr,
    reservation: Reservation<'_>,
) -> CallResult {
    let mut request = fleet
        .http
        .post(format!("http://{router}/v1/services/stockroom/reservations"))
        .header(ORGANISATION_HEADER, "dalisay")
        .header(DEADLINE_HEADER, reservation.deadline_ms)
        .json(&json!({ "item": "reed-8", "quantity": reservation.quantity }));
    if let Some(key) = reservation.key {
        request = request.header(KEY_HEADER, key);
    }
    let Ok(reply) = request.send().await else {
        return CallResult {
            status: 0,
            verdict: "may_have_run".to_owned(),
            reason: "no_answer".to_owned(),
            retry: false,
            body: Value::Null,
        };
    };
    let status = reply.status().as_u16();
    let header = |name: &str| reply.headers().get(name).map(|it| it.to_str().unwrap().to_owned());
    let (verdict, retry) = (header(VERDICT_HEADER).unwrap(), header("retry-after").is_some());
    let body: Value = reply.json().await.unwrap();
    let reason = body["error"]["reason"].as_str().unwrap_or_default().to_owned();
    CallResult { status, verdict, reason, retry, body }
}

pub fn once_options() -> FleetOptions {
    let mut options =
        FleetOptions { routers: 3, engines: 1, canaries: 0, ..FleetOptions::default() };
    options.settings.state_sync.list_every = Duration::from_millis(50);
    options
}

pub async fn once_fleet(options: FleetOptions) -> Fleet {
    let fleet = Fleet::start(options).await.unwrap();
    fleet.publish_first_ticket().await.unwrap();
    fleet
}

pub fn addrs(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.routers.iter().map(|it| it.address()).collect()
}

/// A key chosen by the caller, or one that the router at `addr` issues.
pub async fn new_key(fleet: &Fleet, addr: SocketAddr, issued: bool) -> String {
    if !issued {
        return "order-17".to_owned();
    }
    let request = fleet.http.post(format!("http://{addr}/v1/keys"));
    let reply = request.header(ORGANISATION_HEADER, "dalisay").send().await.unwrap();
    format!("{}.order-17", reply.json::<NewKey>().await.unwrap().key)
}

pub fn set_service_faults(fleet: &Fleet, faults: ServiceFaults) {
    fleet.services[0].set_faults(faults);
}
