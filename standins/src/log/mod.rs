//! Log service: named append-only streams with offsets and limited retention.

mod faults;
mod log;
mod stream;

pub use faults::Faults;
pub use log::LogService;
pub use stream::{Page, Record};
