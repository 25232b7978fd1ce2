//! One request, from the question for an address to the checked answer.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::demo::{Ask, Caller};
use crate::filters::{KEY_HEADER, ORGANISATION_HEADER};
use crate::load::{Kind, LoadOptions, Step};

/// Words of a new message.
const WORDS: u64 = 30;

/// One chat with what was said.
#[derive(Debug)]
pub(crate) struct Chat {
    pub(crate) caller: Caller,
    pub(crate) messages: Vec<Value>,
}

impl Chat {
    /// A new chat.
    pub(crate) fn new(http: &reqwest::Client, organisation: &str, name: &str) -> Chat {
        Chat { caller: Caller::new(http, organisation, name), messages: Vec::new() }
    }

    /// Says something more and checks the answer.
    pub(crate) async fn turn(&mut self, options: &LoadOptions, step: &Step) -> Result<(), String> {
        let router = address(&self.caller, options, step).await?;
        let words: Vec<_> =
            (0..WORDS).map(|i| format!("w{:x}", step.pick.wrapping_mul(2 * i + 1) >> 32)).collect();
        self.messages.push(json!({ "role": "user", "content": words.join(" ") }));
        let stream = step.kind == Kind::Stream;
        let ask = Ask { messages: &self.messages, tokens: step.tokens, stream };
        match self.caller.ask(router, &ask).await {
            Ok(text) => {
                self.messages.push(json!({ "role": "assistant", "content": text }));
                Ok(())
            }
            Err(fault) => {
                self.messages.pop();
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

/// The address to use: the first router that answers tells it.
async fn address(
    caller: &Caller,
    options: &LoadOptions,
    step: &Step,
) -> Result<SocketAddr, String> {
    let count = options.routers.len();
    let first = step.pick as usize % count;
    let mut fault = String::new();
    for i in 0..count {
        match caller.entry(options.routers[(first + i) % count]).await {
            Ok(it) => {
                options.check_address(it).map_err(|e| e.to_string())?;
                return Ok(it);
            }
            Err(e) => fault = e,
        }
    }
    Err(fault)
}

/// Makes a reservation and checks that the answer is its own.
pub(crate) async fn reserve(
    caller: &Caller,
    options: &LoadOptions,
    step: &Step,
) -> Result<(), String> {
    let router = address(caller, options, step).await?;
    let item = format!("item-{:016x}", step.pick);
    let request = caller
        .http
        .post(format!("http://{router}/v1/services/stockroom/reservations"))
        .header(ORGANISATION_HEADER, &caller.organisation)
        .header(KEY_HEADER, format!("load-{}-{:016x}", options.seed, step.pick))
        .json(&json!({ "item": item, "quantity": 1 }));
    let reply = request.send().await.map_err(|e| e.to_string())?;
    let status = reply.status();
    let text = reply.text().await.map_err(|e| e.to_string())?;
    if !status.is_success() {
        return Err(format!("{status}: {text}"));
    }
    let body: Value = serde_json::from_str(&text).unwrap_or_default();
    if body["item"] == item.as_str() {
        return Ok(());
    }
    Err(format!("wrong: the answer is not the one to this reservation: {text}"))
}
