//! Faults of one engine.

use serde::{Deserialize, Serialize};

/// Active faults; all off by default.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Multiplies every duration by `1 + slow`.
    pub slow: u32,
    /// Answers 503 to chat requests without running them.
    pub refuse: bool,
    /// Answers 503 to chat requests without running them, with the header that marks the
    /// engine as leaving.
    pub leaving: bool,
    /// Accepts chat requests and never answers them.
    pub hang: bool,
    /// A prompt that contains this text crashes the engine.
    pub crash_on: Option<String>,
    /// Time until a crashed engine has restarted, in milliseconds.
    pub restart_ms: u64,
    /// Aborts each generation after this many tokens; its stream ends without end mark.
    pub cut_after: Option<u32>,
    /// Closes the connection of each stream after this many tokens; the generation continues.
    pub drop_after: Option<u32>,
    /// Answers with the id of another request.
    pub wrong_id: bool,
    /// Sends the second token of every stream twice.
    pub repeat_token: bool,
    /// Skips the second token of every stream.
    pub skip_token: bool,
    /// Number of next orders that take effect but get no reply.
    pub lost_orders: u32,
}
