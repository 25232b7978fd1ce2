//! A fleet of routers between callers and backend servers.
//!
//! Requests pass through [`filters`], changes of state through [`controllers`]. The
//! controllers publish an immutable view ([`fleet`]) that the filters read. The
//! decisions are in [`decide`], which uses no other module of this crate.

#[macro_use]
mod macros;

pub mod admission;
pub mod backend;
#[cfg(feature = "trial")]
pub mod capacity;
pub mod check;
pub mod cli;
pub mod clock;
pub mod controllers;
pub mod daemon;
pub mod decide;
#[cfg(feature = "trial")]
pub mod demo;
pub mod events;
pub mod filters;
pub mod fleet;
pub mod intake;
pub mod keys;
#[cfg(feature = "trial")]
pub mod load;
pub mod measure;
pub mod metrics;
pub mod once;
pub mod overview;
pub mod peers;
pub mod relay;
pub mod router;
pub mod rules;
pub mod servers;
pub mod settings;
pub mod state;
pub mod timeline;
pub mod wire;
