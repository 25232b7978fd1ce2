//! Faults of one engine.

use serde::{Deserialize, Serialize};

/// What goes wrong at present; all off by default.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Multiplies every duration by `1 + slow`.
    pub slow: u32,
    /// Answers 503 before doing anything.
    pub refuse: bool,
    /// Answers 503 and tells that it is leaving, before doing anything.
    pub leaving: bool,
    /// Accepts requests and never answers them.
    pub hang: bool,
    /// A prompt that contains this text takes the engine down.
    pub crash_on: Option<String>,
    /// Time until a crashed engine is back, in milliseconds.
    pub restart_ms: u64,
    /// Ends each stream after this many tokens without its end mark.
    pub cut_after: Option<u32>,
    /// Cuts the connection of each stream after this many tokens; the engine goes on.
    pub drop_after: Option<u32>,
    /// Answers with the id of another request.
    pub wrong_id: bool,
    /// Repeats the second token of every stream.
    pub repeat_token: bool,
    /// Leaves the second token of every stream out.
    pub skip_token: bool,
    /// This many coming orders take effect but lose their reply.
    pub lost_orders: u32,
}
