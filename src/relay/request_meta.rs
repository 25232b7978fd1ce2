//! Metadata in the head of a request.

use std::fmt;
use std::time::Duration;

use smallvec::SmallVec;

use crate::decide::{RequestTokens, SharedPart, combine};

/// An answer holds this share of its maximum length on average while it is generated.
const MEAN_OUTPUT_SHARE: f64 = 0.5;

plain! {
    /// One part of a prompt.
    pub struct PromptPart {
        /// Identity; requests with the same part share its cached tokens.
        pub id: u64,
        /// Length in tokens.
        pub tokens: u32,
    }

    /// Metadata of a request, read from its head.
    pub struct RequestMeta {
        /// Id of this attempt of the caller.
        pub id: String,
        /// Host that it is addressed to.
        pub host: String,
        /// Key of the caller's organisation.
        pub key: Option<String>,
        /// How long the caller waits for the answer.
        pub deadline: Option<Duration>,
        /// Hash of the model that it is for.
        pub model: u64,
        /// Tokens of the prompt, and the maximum for the answer.
        pub tokens: Option<(u32, u32)>,
        /// Parts of the prompt in order; the last part belongs to this request alone.
        pub parts: SmallVec<[PromptPart; 4]>,
        /// Id of the last event that the caller received of a broken stream.
        pub last_event: Option<String>,
        /// Id of the attempt of the caller that brought the first event of that stream.
        pub resumes: Option<String>,
    }
}

impl RequestMeta {
    /// Hash of the model and the shared prompt prefix, equal for requests that share
    /// a cached prefix; absent for requests without a prompt.
    pub fn prefix_key(&self) -> Option<u64> {
        let shared = self.parts.len().saturating_sub(1).max(1);
        let shared = self.parts.get(..shared)?;
        Some(shared.iter().fold(self.model, |key, it| combine(key, it.id)))
    }

    /// Parts of the prompt that other requests may have too.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let shared = self.parts.len().saturating_sub(1);
        &self.parts[..shared]
    }

    /// Tokens of the prompt that may be cached from other requests.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|it| it.tokens).sum()
    }

    /// The tokens of the request at a server that has read nothing of its prompt; none if it
    /// states none.
    pub fn request_tokens(&self) -> RequestTokens {
        let Some((prompt, output)) = self.tokens else {
            return RequestTokens::default();
        };
        let mut key = self.model;
        let mut rest = u64::from(prompt);
        let parts = self.shared_parts().iter().map(|it| {
            key = combine(key, it.id);
            let tokens = rest.min(it.tokens.into());
            rest -= tokens;
            SharedPart { tag: key as u16, tokens }
        });
        let parts = parts.collect();
        let output = (f64::from(output) * MEAN_OUTPUT_SHARE) as u64;
        RequestTokens { unread: prompt.into(), held: rest + output, parts }
    }

    /// The ids of the shared parts in hexadecimal, separated by commas, for logs.
    pub fn shared_parts_text(&self) -> String {
        let ids: SmallVec<[String; 4]> =
            self.shared_parts().iter().map(|it| format!("{:x}", it.id)).collect();
        ids.join(",")
    }
}

/// Why the head of a request cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestMetaError {
    /// It has no request id.
    NoId,
    /// The named header is malformed.
    Malformed(&'static str),
}

impl fmt::Display for RequestMetaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestMetaError::NoId => f.write_str("the request has no id"),
            RequestMetaError::Malformed(name) => write!(f, "the header {name} is malformed"),
        }
    }
}

impl std::error::Error for RequestMetaError {}
