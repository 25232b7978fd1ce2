//! Chat completion requests and responses, in the format that common model clients use.

use std::borrow::Cow;

use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::{Map, Value};

/// Estimated tokens of an answer when the caller sets no limit.
const DEFAULT_ANSWER_TOKENS: u32 = 16;

wire! {
    /// One message of a conversation.
    pub struct ChatMessage {
        /// Role of its author, such as `user`.
        pub role: String,
        /// Its text.
        pub content: String,
        /// Fields that routers pass through unchanged.
        #[serde(flatten)]
        pub rest: Map<String, Value>,
    }

    /// Body of `POST /v1/chat/completions`.
    pub struct ChatRequest {
        /// Requested model or adapter.
        pub model: String,
        /// Messages of the conversation, oldest first.
        pub messages: Vec<ChatMessage>,
        /// Maximum number of tokens in the answer.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub max_tokens: Option<u32>,
        /// Whether the answer is streamed token by token.
        #[serde(default)]
        pub stream: bool,
        /// Fields that routers pass through unchanged.
        #[serde(flatten)]
        pub rest: Map<String, Value>,
    }
}

impl ChatRequest {
    /// Estimated prompt and answer tokens: a word counts as one token, and each message
    /// as one more.
    pub fn cost(&self) -> u64 {
        let words: usize =
            self.messages.iter().map(|it| it.content.split_whitespace().count() + 1).sum();
        words as u64 + u64::from(self.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS))
    }
}

plain! {
    /// The fields that routers read from a complete answer; the others pass through unchanged.
    #[derive(Deserialize)]
    pub struct ChatAnswer<'a> {
        /// Id of the request.
        #[serde(borrow)]
        pub id: Cow<'a, str>,
        /// Alternative answers.
        pub choices: Vec<IgnoredAny>,
        /// Tokens used.
        #[serde(default)]
        pub usage: Usage,
    }

    /// The fields that routers read from one event of a streamed answer.
    #[derive(Deserialize)]
    pub struct ChatChunk<'a> {
        /// Id of the request.
        #[serde(borrow)]
        pub id: Cow<'a, str>,
        /// Tokens used; in the last event only.
        #[serde(default)]
        pub usage: Option<Usage>,
    }

    /// Tokens that one request used.
    #[derive(Default, Deserialize)]
    #[serde(default)]
    pub struct Usage {
        /// Tokens of the prompt.
        pub prompt_tokens: u64,
        /// Breakdown of the prompt tokens.
        pub prompt_tokens_details: PromptDetails,
    }

    /// Breakdown of the tokens of a prompt.
    #[derive(Default, Deserialize)]
    #[serde(default)]
    pub struct PromptDetails {
        /// Tokens served from the prefix cache.
        pub cached_tokens: u64,
    }
}

impl<'a> ChatAnswer<'a> {
    /// Parses a complete answer.
    ///
    /// # Errors
    /// Fails on anything but a JSON object with an id and choices.
    pub fn parse(bytes: &'a [u8]) -> Result<ChatAnswer<'a>, serde_json::Error> {
        parse_object(bytes)
    }
}

impl<'a> ChatChunk<'a> {
    /// Parses the data of one event.
    ///
    /// # Errors
    /// Fails on anything but a JSON object with an id.
    pub fn parse(bytes: &'a [u8]) -> Result<ChatChunk<'a>, serde_json::Error> {
        parse_object(bytes)
    }
}

/// Parses a JSON object. The check is needed because a derived decoder also accepts an array.
fn parse_object<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, serde_json::Error> {
    if bytes.trim_ascii_start().first() != Some(&b'{') {
        return Err(serde::de::Error::custom("expected a JSON object"));
    }
    serde_json::from_slice(bytes)
}
