//! What a request says of itself.

use std::fmt;
use std::time::Duration;

use smallvec::SmallVec;

use crate::decide::combine;

plain! {
    /// One part of a prompt.
    pub struct PromptPart {
        /// Identity; requests with the same part share its cached tokens.
        pub id: u64,
        /// Length in tokens.
        pub tokens: u32,
    }

    /// A request, as its head tells.
    pub struct RequestMeta {
        /// Identity of this try of the caller.
        pub id: String,
        /// Host that it is for.
        pub host: String,
        /// Key of the caller's organisation.
        pub key: Option<String>,
        /// How long the caller waits.
        pub deadline: Option<Duration>,
        /// Hash of the model that it is for.
        pub model: u64,
        /// Prompt and longest answer in tokens.
        pub tokens: Option<(u32, u32)>,
        /// The prompt from its beginning; the last part is the request's own.
        pub parts: SmallVec<[PromptPart; 4]>,
        /// Last event that the caller has of a broken stream.
        pub last_event: Option<String>,
    }
}

impl RequestMeta {
    /// What requests with the same cached prefix have in common; absent for
    /// requests without a prompt.
    pub fn prefix_key(&self) -> Option<u64> {
        let shared = self.parts.len().saturating_sub(1).max(1);
        let shared = self.parts.get(..shared)?;
        Some(shared.iter().fold(self.model, |key, it| combine(key, it.id)))
    }

    /// Tokens that other requests may have left in a cache.
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|it| it.tokens).sum()
    }
}

/// A head that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestMetaError {
    /// It lacks the identity of the request.
    NoId,
    /// A header has a wrong form; which one.
    Malformed(&'static str),
}

impl fmt::Display for RequestMetaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestMetaError::NoId => f.write_str("the request has no identity"),
            RequestMetaError::Malformed(name) => write!(f, "the header {name} has a wrong form"),
        }
    }
}

impl std::error::Error for RequestMetaError {}
