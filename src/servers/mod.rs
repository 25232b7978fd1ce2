//! The backend servers that requests are passed on to: who they are, what
//! each holds, and which can be reached.

mod change;
mod record;
mod server;
mod table;
mod tally;

pub use change::{Change, Page};
pub use record::{ServerRecord, Standing};
pub use server::{InFlight, Server};
pub use table::{Effect, ServerTable};
