//! Numbered events, kept for a while and logged.

mod code;
mod event;
mod logger;
mod ring;

pub use code::Code;
pub use event::Event;
pub use logger::{LogFormat, discard_logger, root_logger};
pub use ring::{EventLog, Fields};
