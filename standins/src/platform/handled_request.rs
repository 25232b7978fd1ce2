//! A request that a backend server ran.

use std::time::Instant;

/// One request that the server ran.
#[derive(Debug, Clone)]
pub struct HandledRequest {
    /// When it arrived.
    pub at: Instant,
    /// Request line: method, path and version.
    pub line: String,
    /// Headers, one per line; their names are in lower case.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

impl HandledRequest {
    /// Value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|it| it.strip_prefix(name)?.strip_prefix(": "))
    }

    /// Whether its prompt has the part `id`, the last one excepted.
    pub fn has_part(&self, id: u64) -> bool {
        let prompt = self.header("prompt-prefix").unwrap_or_default();
        let shared = prompt.rsplit_once(',').map_or("", |(shared, _)| shared);
        shared.split(',').filter_map(|it| it.split_once(':')).any(|(it, _)| it == format!("{id:x}"))
    }

    /// Request id.
    pub fn id(&self) -> &str {
        self.header("request-id").unwrap_or_default()
    }
}
