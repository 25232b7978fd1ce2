//! Chat requests as the engine parses them.

use serde::Deserialize;

/// One message of a chat.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Message {
    pub(crate) role: String,
    pub(crate) content: String,
}

/// Body of `POST /v1/chat/completions`.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct ChatRequest {
    pub(crate) model: String,
    pub(crate) messages: Vec<Message>,
    #[serde(default = "default_tokens")]
    pub(crate) max_tokens: u32,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default)]
    pub(crate) priority: u8,
}

fn default_tokens() -> u32 {
    16
}

impl ChatRequest {
    /// Prompt text: all messages, one per line.
    pub(crate) fn prompt(&self) -> String {
        let mut text = String::new();
        for it in &self.messages {
            text.push_str(&it.role);
            text.push(' ');
            text.push_str(&it.content);
            text.push('\n');
        }
        text
    }
}

/// A chat request to generate an answer for, with its id.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) id: String,
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) tokens: u32,
    pub(crate) priority: u8,
}
