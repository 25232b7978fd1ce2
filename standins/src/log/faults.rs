//! Faults of the log service.

use serde::{Deserialize, Serialize};

/// Active faults; all off by default.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answers 503 to everything.
    pub out: bool,
    /// Answers 503 to appends only; waiting reads keep waiting.
    pub appends_out: bool,
    /// Extra delay before each answer, in milliseconds.
    pub delay_ms: u64,
    /// Number of next appends that take effect but get no reply.
    pub lost_replies: u32,
}
