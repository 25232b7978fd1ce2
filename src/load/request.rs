//! One request, from the choice of a router to the check of the answer.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::demo::{Caller, ChatTurn, NOT_CONNECTED_PREFIX, send_fault};
use crate::filters::{KEY_HEADER, ORGANISATION_HEADER};
use crate::load::addresses::Addresses;
use crate::load::{Kind, LoadOptions, ScheduledRequest};
use crate::wire::NewKey;

/// Length of a new message in words.
const WORDS: u64 = 30;

/// One chat with its messages so far.
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

    /// Sends the next message and checks the answer.
    pub(crate) async fn send_turn(
        &mut self,
        options: &LoadOptions,
        scheduled: &ScheduledRequest,
    ) -> Result<(), String> {
        let routers = self.addresses.get(&self.caller, options, scheduled).await?.to_vec();
        let words: Vec<_> = (0..WORDS)
            .map(|i| format!("w{:x}", scheduled.random.wrapping_mul(2 * i + 1) >> 32))
            .collect();
        self.messages.push(json!({ "role": "user", "content": words.join(" ") }));
        let stream = scheduled.kind == Kind::Stream;
        let turn = ChatTurn { messages: &self.messages, tokens: scheduled.tokens, stream };
        let mut result = Err("the router named no address".to_owned());
        for router in routers {
            result = self.caller.send(router, &turn).await;
            if !is_unsent(&result) {
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
                Err(mark_wrong(fault))
            }
        }
    }
}

/// Adds the prefix `wrong: ` to the fault of an answer that arrived but is not right.
fn mark_wrong(fault: String) -> String {
    let wrong = fault.contains("belongs to another request")
        || fault.contains("ended without `[DONE]`")
        || fault.contains("has no content");
    if wrong { format!("wrong: {fault}") } else { fault }
}

/// Whether nothing was sent, so that the next address can be used.
fn is_unsent<T>(result: &Result<T, String>) -> bool {
    matches!(result, Err(fault) if fault.starts_with(NOT_CONNECTED_PREFIX))
}

/// Makes a reservation and checks that the answer belongs to it.
pub(crate) async fn reserve(
    caller: &Caller,
    options: &LoadOptions,
    scheduled: &ScheduledRequest,
) -> Result<(), String> {
    let mut addresses = Addresses::default();
    let routers = addresses.get(caller, options, scheduled).await?;
    let mut key = format!("load-{}-{:016x}", options.seed, scheduled.random);
    let mut result = Err("the router named no address".to_owned());
    if scheduled.kind == Kind::Issued {
        let mut issued = Err("the router named no address".to_owned());
        for router in routers {
            issued = issue_key(caller, *router).await;
            if !is_unsent(&issued) {
                break;
            }
        }
        key = format!("{}.{key}", issued?);
    }
    // Every router accepts the key, so the addresses may be used in reverse order, too.
    for router in routers.iter().rev() {
        result = reserve_at(caller, *router, &key, scheduled).await;
        if !is_unsent(&result) {
            break;
        }
    }
    result
}

/// Requests an idempotency key from `router`.
async fn issue_key(caller: &Caller, router: SocketAddr) -> Result<String, String> {
    let request = caller.http.post(format!("http://{router}/v1/keys"));
    let request = request.header(ORGANISATION_HEADER, &caller.organisation);
    let text = send(request).await?;
    let key: NewKey = serde_json::from_str(&text).map_err(|e| format!("wrong: {e}: {text}"))?;
    Ok(key.key)
}

/// Makes a reservation under `key` at `router`.
async fn reserve_at(
    caller: &Caller,
    router: SocketAddr,
    key: &str,
    scheduled: &ScheduledRequest,
) -> Result<(), String> {
    let item = format!("item-{:016x}", scheduled.random);
    let request = caller
        .http
        .post(format!("http://{router}/v1/services/stockroom/reservations"))
        .header(ORGANISATION_HEADER, &caller.organisation)
        .header(KEY_HEADER, key)
        .json(&json!({ "item": item, "quantity": 1 }));
    let text = send(request).await?;
    let body: Value = serde_json::from_str(&text).unwrap_or_default();
    if body["item"] == item.as_str() {
        return Ok(());
    }
    Err(format!("wrong: the answer belongs to another reservation: {text}"))
}

/// Sends a request; returns the body of a successful answer.
async fn send(request: reqwest::RequestBuilder) -> Result<String, String> {
    let reply = request.send().await.map_err(|e| send_fault(&e))?;
    let status = reply.status();
    let text = reply.text().await.map_err(|e| e.to_string())?;
    if status.is_success() { Ok(text) } else { Err(format!("{status}: {text}")) }
}
