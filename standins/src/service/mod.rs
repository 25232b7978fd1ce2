//! Plain service: stock reads and reservations counted per key.

mod service;

pub use service::{Faults, Reservation, ServiceStandin};
