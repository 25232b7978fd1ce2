//! The users' platform: its store, and backend servers as they speak there.

mod conduct;
pub mod fixture;
mod store;
mod worker;

pub use conduct::Conduct;
pub use store::{MetaStore, StoreFault};
pub use worker::{Ran, Worker};
