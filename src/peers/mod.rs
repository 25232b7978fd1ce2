//! The other routers: which are alive, and how much each has in flight.

mod client;
mod roster;

pub use client::{PeerClient, PeerError, decode, encode};
pub use roster::Roster;
