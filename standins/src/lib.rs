//! Small stand-ins for the systems around a router fleet: model engine, plain
//! service, log service and instance list.
//!
//! They speak HTTP only and serve tests and the demonstration. Faults are
//! switched on through each stand-in's `faults` method or by `POST /faults`.

pub mod engine;
pub mod list;
pub mod log;
pub mod platform;
pub mod server;
pub mod service;
