//! A running instance: one control thread and several traffic threads.

mod control_api;
mod control_thread;
mod daemon;
mod gossip_api;
mod once_api;
mod open_connections;
mod server;
mod status_api;
mod stop;
mod write_limit;

pub(crate) use control_thread::CONTROL_THREAD;
#[cfg(feature = "trial")]
pub(crate) use daemon::TRAFFIC_THREAD;
pub use daemon::{Daemon, DaemonError};
pub use server::serve;
pub use status_api::status;
pub use stop::{Stop, Stopped};
