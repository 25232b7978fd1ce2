//! The users' platform: its store, and backend servers as they speak there.

pub mod fixture;
mod server_behaviour;
mod server_standin;
mod store;

pub use server_behaviour::ServerBehaviour;
pub use server_standin::{HandledRequest, ServerStandin};
pub use store::{MetaStore, StoreFault};
