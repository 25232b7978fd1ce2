//! Admission: who may send work when there is not enough room.

mod fair_queue;
mod rate_limit;
mod room;

pub use fair_queue::{Admit, FairQueue, QueueLimits, Waiting};
pub use rate_limit::{RateLimit, rate_share};
pub use room::{RoomInput, room};
