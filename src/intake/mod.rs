//! What a process holds for its clients: connections, requests on their way in, and answers that
//! are not read. All of it counts against one set of limits, so that no crowd of clients exhausts
//! the memory or the descriptors of the machine.

mod allocator;
mod client;
mod intake;
mod limits;
mod memory_budget;
mod progress;
mod read_body;

pub use allocator::return_large_blocks;
pub use client::{Client, OpenClient};
pub use intake::Intake;
pub use limits::{IntakeLimits, Listener};
pub use memory_budget::{MemoryBudget, Reservation};
pub use read_body::{ReadError, read_body};
