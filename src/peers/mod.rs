//! The other routers: which of them are alive, and how many requests each has in flight.

mod client;
mod peer;
mod peer_table;

pub(crate) use client::{EXCHANGE_PATH, SERVERS_PATH};
pub use client::{PeerClient, PeerError, decode, encode};
pub use peer_table::{PeerLoad, PeerTable, Reader};
