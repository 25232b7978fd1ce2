//! Settings of a daemon: a JSON file with comments, fully checked before the start.

mod admission;
mod check;
mod crashes;
mod events;
mod keys;
mod limits;
mod once;
mod orders;
mod problem;
mod routing;
mod settings;
mod state_sync;
mod traffic;

pub use admission::Admission;
pub use check::{parse, read};
pub use crashes::Crashes;
pub use events::Events;
pub use keys::FleetKey;
pub use limits::Limits;
pub use once::Once;
pub use orders::Orders;
pub use problem::{Problem, SettingsError};
pub use routing::Routing;
pub use settings::{DEFAULT_TEXT, Seed, Settings};
pub use state_sync::StateSync;
pub use traffic::Traffic;
