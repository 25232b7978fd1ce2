//! One request, from the question for an address to the checked answer.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::demo::{Caller, ChatTurn, NOT_CONNECTED_PREFIX, send_fault};
use crate::filters::{KEY_HEADER, ORGANISATION_HEADER};
use crate::load::addresses::Addresses;
use crate::load::{Kind, LoadOptions, ScheduledRequest};
use crate::wire::NewKey;

/// Words of a new message.
const WORDS: u64 = 30;

/// One chat with what was said.
#[derive(Debug)]
pub(crate) struct Chat {
    pub(crate) caller: Caller,
    pub(crate) messages: Vec<Value>,
    addresses: Addresses,
}

impl Chat {
    /// A new chat.
    pub(crate) fn new(http: &reqwest::Client, organisation: &str, name: &str) -> Chat {
        let caller = Caller::new(http, organisation, name);
        Chat { caller, messages: Vec::new(), addresses: Addresses::default() }
    }

    /// Says something more and checks the answer.
    pub(crate) async fn turn(
        &mut self,
        options: &LoadOptions,
        step: &ScheduledRequest,
    ) -> Result<(), String> {
        let routers = self.addresses.get(&self.caller, options, step).await?.to_vec();
        let words: Vec<_> =
            (0..WORDS).map(|i| format!("w{:x}", step.pick.wrapping_mul(2 * i + 1) >> 32)).collect();
        self.messages.push(json!({ "role": "user", "content": words.join(" ") }));
        let stream = step.kind == Kind::Stream;
        let turn = ChatTurn { messages: &self.messages, tokens: step.tokens, stream };
        let mut result = Err("no address".to_owned());
        for router in routers {
            result = self.caller.send(router, &turn).await;
            if !unsent(&result) {
                break;
            }
        }
        match result {
            Ok(text) => {
                self.messages.push(json!({ "role": "assistant", "content": text }));
                Ok(())
            }
            Err(fault) => {
                self.messages.pop();
                self.addresses = Addresses::default();
                Err(named(fault))
            }
        }
    }
}

/// Marks faults of an answer that came as wrong.
fn named(fault: String) -> String {
    let wrong = fault.contains("not the one to this request")
        || fault.contains("no end mark")
        || fault.contains("no content");
    if wrong { format!("wrong: {fault}") } else { fault }
}

/// Whether nothing was sent, so that the next address may be tried.
fn unsent<T>(result: &Result<T, String>) -> bool {
    matches!(result, Err(fault) if fault.starts_with(NOT_CONNECTED_PREFIX))
}

/// Makes a reservation and checks that the answer is its own.
pub(crate) async fn reserve(
    caller: &Caller,
    options: &LoadOptions,
    step: &ScheduledRequest,
) -> Result<(), String> {
    let mut addresses = Addresses::default();
    let routers = addresses.get(caller, options, step).await?;
    let mut key = format!("load-{}-{:016x}", options.seed, step.pick);
    let mut result = Err("no address".to_owned());
    if step.kind == Kind::Issued {
        let mut issued = Err("no address".to_owned());
        for router in routers {
            issued = new_key(caller, *router).await;
            if !unsent(&issued) {
                break;
            }
        }
        key = format!("{}.{key}", issued?);
    }
    // Keys are good at every router, so the last address is as good as the first.
    for router in routers.iter().rev() {
        result = reserve_at(caller, *router, &key, step).await;
        if !unsent(&result) {
            break;
        }
    }
    result
}

/// An operation key that the router at `router` issues.
async fn new_key(caller: &Caller, router: SocketAddr) -> Result<String, String> {
    let request = caller.http.post(format!("http://{router}/v1/keys"));
    let request = request.header(ORGANISATION_HEADER, &caller.organisation);
    let text = body(request).await?;
    let key: NewKey = serde_json::from_str(&text).map_err(|e| format!("wrong: {e}: {text}"))?;
    Ok(key.key)
}

async fn reserve_at(
    caller: &Caller,
    router: SocketAddr,
    key: &str,
    step: &ScheduledRequest,
) -> Result<(), String> {
    let item = format!("item-{:016x}", step.pick);
    let request = caller
        .http
        .post(format!("http://{router}/v1/services/stockroom/reservations"))
        .header(ORGANISATION_HEADER, &caller.organisation)
        .header(KEY_HEADER, key)
        .json(&json!({ "item": item, "quantity": 1 }));
    let text = body(request).await?;
    let body: Value = serde_json::from_str(&text).unwrap_or_default();
    if body["item"] == item.as_str() {
        return Ok(());
    }
    Err(format!("wrong: the answer is not the one to this reservation: {text}"))
}

/// The body of a successful answer.
async fn body(request: reqwest::RequestBuilder) -> Result<String, String> {
    let reply = request.send().await.map_err(|e| send_fault(&e))?;
    let status = reply.status();
    let text = reply.text().await.map_err(|e| e.to_string())?;
    if status.is_success() { Ok(text) } else { Err(format!("{status}: {text}")) }
}
