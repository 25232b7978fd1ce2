//! Chat requests in the form that model clients already speak.

use std::borrow::Cow;

use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::{Map, Value};

/// Tokens of an answer when the caller sets no limit.
const DEFAULT_TOKENS: u32 = 16;

wire! {
    /// One message.
    pub struct ChatMessage {
        /// Who said it.
        pub role: String,
        /// What was said.
        pub content: String,
        /// Fields that routers pass through.
        #[serde(flatten)]
        pub rest: Map<String, Value>,
    }

    /// Body of `POST /v1/chat/completions`.
    pub struct ChatRequest {
        /// Model or adapter asked for.
        pub model: String,
        /// The conversation.
        pub messages: Vec<ChatMessage>,
        /// Tokens of the answer at most.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub max_tokens: Option<u32>,
        /// Whether the answer comes token by token.
        #[serde(default)]
        pub stream: bool,
        /// Fields that routers pass through.
        #[serde(flatten)]
        pub rest: Map<String, Value>,
    }
}

impl ChatRequest {
    /// Tokens to read and write, estimated from the length of the text.
    pub fn cost(&self) -> u64 {
        let words: usize =
            self.messages.iter().map(|it| it.content.split_whitespace().count() + 1).sum();
        words as u64 + u64::from(self.max_tokens.unwrap_or(DEFAULT_TOKENS))
    }
}

plain! {
    /// What routers read of a whole answer; all else passes untouched.
    #[derive(Deserialize)]
    pub struct ChatAnswer<'a> {
        /// Id of the request.
        #[serde(borrow)]
        pub id: Cow<'a, str>,
        /// The answers.
        pub choices: Vec<IgnoredAny>,
        /// What it took.
        #[serde(default)]
        pub usage: Usage,
    }

    /// What routers read of one event of a stream.
    #[derive(Deserialize)]
    pub struct ChatChunk<'a> {
        /// Id of the request.
        #[serde(borrow)]
        pub id: Cow<'a, str>,
        /// What it took; in the last event only.
        #[serde(default)]
        pub usage: Option<Usage>,
    }

    /// Tokens of one request.
    #[derive(Default, Deserialize)]
    #[serde(default)]
    pub struct Usage {
        /// Tokens of the prompt.
        pub prompt_tokens: u64,
        /// More about them.
        pub prompt_tokens_details: PromptDetails,
    }

    /// More about the tokens of a prompt.
    #[derive(Default, Deserialize)]
    #[serde(default)]
    pub struct PromptDetails {
        /// Tokens found in the cache.
        pub cached_tokens: u64,
    }
}

impl<'a> ChatAnswer<'a> {
    /// Reads a whole answer.
    ///
    /// # Errors
    /// Anything but an object with an id and choices.
    pub fn parse(bytes: &'a [u8]) -> Result<ChatAnswer<'a>, serde_json::Error> {
        parse_object(bytes)
    }
}

impl<'a> ChatChunk<'a> {
    /// Reads the data of one event.
    ///
    /// # Errors
    /// Anything but an object with an id.
    pub fn parse(bytes: &'a [u8]) -> Result<ChatChunk<'a>, serde_json::Error> {
        parse_object(bytes)
    }
}

/// Reads an object; a derived decoder would take an array for one too.
fn parse_object<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, serde_json::Error> {
    if bytes.trim_ascii_start().first() != Some(&b'{') {
        return Err(serde::de::Error::custom("it is not an object"));
    }
    serde_json::from_slice(bytes)
}
