//! Chat requests in the form that model clients already speak.

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
