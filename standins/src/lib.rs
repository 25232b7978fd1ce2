//! Small stand-ins for the systems around a router fleet: model engine, plain
//! service, log service, instance list and the users' platform.
//!
//! They speak HTTP only and serve tests and the demonstration. Most of them take
//! faults through a `set_faults` method or `POST /faults`.

pub mod engine;
mod link;
pub mod list;
pub mod log;
pub mod platform;
pub mod server;
pub mod service;

pub use link::{Link, LinkFault};
