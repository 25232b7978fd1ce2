//! The backend servers that requests are passed on to: who they are, what
//! each holds, and which can be reached.

mod change;
mod record;
mod result_window;
mod server;
mod table;

pub use change::{Change, Page};
pub use record::{ServerRecord, ServerState};
pub use server::{InFlight, Server};
pub use table::{Effect, ServerTable};
