//! A router fleet between callers and backend servers.
//!
//! The request path runs through [`filters`], the state path through
//! [`controllers`]; both meet in the immutable view of [`fleet`]. The decisions
//! are in [`decide`], which depends on nothing else here.

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
