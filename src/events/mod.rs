//! Numbered events, which are logged and stored for a while.

mod code;
mod event;
mod event_log;
mod hybrid;
mod log_once;
mod logger;
mod shard;

pub use code::Code;
pub use event::{Event, EventPage};
pub use event_log::{EventLog, Fields, Totals};
pub use hybrid::{HybridClock, HybridTime};
pub(crate) use log_once::LogOnce;
pub use logger::{LogFormat, discard_logger, json_logger, json_logger_to, root_logger};
