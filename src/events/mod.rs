//! Numbered events, kept for a while and logged.

mod code;
mod event;
mod hybrid;
mod logger;
mod ring;
mod shard;

pub use code::Code;
pub use event::{Event, EventPage};
pub use hybrid::{HybridClock, HybridTime};
pub use logger::{LogFormat, discard_logger, json_logger, json_logger_to, root_logger};
pub use ring::{EventLog, Fields, Totals};
