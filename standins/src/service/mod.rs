//! Plain service: stock reads, and reservations counted per idempotency key.

mod service;

pub use service::{Faults, Reservation, ServiceStandin};
