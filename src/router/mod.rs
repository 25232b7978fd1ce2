//! A router whose state comes from a platform's store: the process as a whole.

mod beliefs;
mod entry;
mod exchange_loop;
mod face;
mod lifecycle;
mod listeners;
mod router;
mod router_error;
mod router_settings;
mod rules_watch;
mod servers_watch;
mod source_health;
mod store;

pub use face::Face;
pub use lifecycle::{drain, run, start};
pub use listeners::Listeners;
pub use router::Router;
pub use router_error::RouterError;
pub use router_settings::RouterSettings;
pub use source_health::{SourceHealth, Turn};
pub use store::{Store, StoreError};
