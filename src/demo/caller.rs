//! A caller that checks the answers to its requests.

use std::net::SocketAddr;

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use serde_json::{Value, json};
use standins::engine::answer;

use crate::filters::{CHAT_HEADER, HINT_HEADER, ORGANISATION_HEADER};
use crate::wire::EntryAnswer;

/// A caller: one chat of one organisation.
#[derive(Debug, Clone)]
pub struct Caller {
    /// HTTP client.
    pub http: reqwest::Client,
    /// Name of the organisation.
    pub organisation: String,
    /// Name of the chat.
    pub chat: String,
    /// Hint header of the last answer, sent with the next request.
    pub hint: Option<String>,
}

plain! {
    /// One request of a chat.
    pub struct ChatTurn<'a> {
        /// The conversation so far.
        pub messages: &'a [Value],
        /// Length of the answer in tokens.
        pub tokens: u32,
        /// Whether the answer is streamed.
        pub stream: bool,
    }
}

impl Caller {
    /// A caller for `chat` of `organisation`.
    pub fn new(http: &reqwest::Client, organisation: &str, chat: &str) -> Caller {
        Caller {
            http: http.clone(),
            organisation: organisation.to_owned(),
            chat: chat.to_owned(),
            hint: None,
        }
    }

    /// Requests from `router` the address to use first.
    ///
    /// # Errors
    /// Says why there is none.
    pub async fn entry_address(&self, router: SocketAddr) -> Result<SocketAddr, String> {
        let answer = self.entry_answer(router).await?;
        answer
            .addresses
            .first()
            .map(|it| it.address)
            .ok_or_else(|| "the router named no address".to_owned())
    }

    /// Requests from `router` the addresses to use, and for how long.
    ///
    /// # Errors
    /// Says why there is no answer.
    pub async fn entry_answer(&self, router: SocketAddr) -> Result<EntryAnswer, String> {
        let query = [("org", &self.organisation), ("chat", &self.chat)];
        let query = serde_urlencoded::to_string(query).map_err(|e| e.to_string())?;
        let url = format!("http://{router}/v1/entry?{query}");
        let reply = self.http.get(url).send().await.map_err(|e| e.to_string())?;
        let reply = reply.error_for_status().map_err(|e| e.to_string())?;
        reply.json().await.map_err(|e| e.to_string())
    }

    /// Sends one request to `router`. The answer must be complete and belong to this
    /// prompt.
    ///
    /// # Errors
    /// Says what is wrong with the answer, or gives the error body.
    pub async fn send(
        &mut self,
        router: SocketAddr,
        turn: &ChatTurn<'_>,
    ) -> Result<String, String> {
        let body = json!({
            "model": "assistant",
            "messages": turn.messages,
            "max_tokens": turn.tokens,
            "stream": turn.stream,
        });
        let mut request = self
            .http
            .post(format!("http://{router}/v1/chat/completions"))
            .header(ORGANISATION_HEADER, &self.organisation)
            .header(CHAT_HEADER, &self.chat)
            .json(&body);
        if let Some(hint) = &self.hint {
            request = request.header(HINT_HEADER, hint);
        }
        let reply = request.send().await.map_err(|e| send_fault(&e))?;
        let status = reply.status();
        if !status.is_success() {
            return Err(format!("{status}: {}", reply.text().await.unwrap_or_default()));
        }
        let hint = reply.headers().get(HINT_HEADER).and_then(|it| it.to_str().ok());
        self.hint = hint.map(str::to_owned);
        let text = if turn.stream { read_stream(reply).await? } else { read_body(reply).await? };
        if text == answer(&prompt(turn.messages), turn.tokens) {
            Ok(text)
        } else {
            Err("the answer belongs to another request".to_owned())
        }
    }
}

/// Prefix of a fault that occurred before anything was sent.
pub const NOT_CONNECTED_PREFIX: &str = "not connected: ";

/// Describes the fault of a request that got no answer.
pub(crate) fn send_fault(error: &reqwest::Error) -> String {
    if error.is_connect() { format!("{NOT_CONNECTED_PREFIX}{error}") } else { error.to_string() }
}

async fn read_body(reply: reqwest::Response) -> Result<String, String> {
    let body: Value = reply.json().await.map_err(|e| e.to_string())?;
    let text = body["choices"][0]["message"]["content"].as_str();
    text.map(str::to_owned).ok_or_else(|| "the answer has no content".to_owned())
}

async fn read_stream(reply: reqwest::Response) -> Result<String, String> {
    let mut events = reply.bytes_stream().eventsource();
    let mut text = String::new();
    while let Some(event) = events.next().await {
        let event = event.map_err(|e| e.to_string())?;
        if event.data == "[DONE]" {
            return Ok(text);
        }
        if event.event == "error" {
            return Err(event.data);
        }
        let data: Value = serde_json::from_str(&event.data).map_err(|e| e.to_string())?;
        text.push_str(data["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    Err("the stream ended without `[DONE]`".to_owned())
}

/// The prompt that the engine stand-in builds from `messages`.
pub fn prompt(messages: &[Value]) -> String {
    let line = |it: &Value| {
        let part = |name: &str| it[name].as_str().unwrap_or_default();
        format!("{} {}\n", part("role"), part("content"))
    };
    messages.iter().map(line).collect()
}
