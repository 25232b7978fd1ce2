//! A running instance: one control thread, several traffic threads.

mod control_api;
mod control_thread;
mod daemon;
mod gossip_api;
mod once_api;
mod server;
mod stop;

pub use daemon::{Daemon, DaemonError};
pub use server::serve;
pub use stop::{Stop, Stopped};
