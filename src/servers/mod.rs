//! The backend servers that requests are relayed to: their records, load,
//! reachability and results.

mod change;
mod record;
mod result_window;
mod server;
mod table;

pub use change::{Change, Page};
pub use record::{ServerRecord, ServerState};
pub use server::{InFlight, Server};
pub use table::{Effect, ServerTable};
