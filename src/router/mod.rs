//! A router process that takes its state from a platform's store.

mod blame_store;
mod client_protocol;
mod cursor;
mod endpoints;
mod exchange_loop;
mod gauges;
mod leaving_news;
mod lifecycle;
mod limit_news;
mod listeners;
mod news;
mod origin_search;
mod origins;
mod reach_watch;
mod router;
mod router_error;
mod router_settings;
mod rules_watch;
mod servers_watch;
mod software_news;
mod source_health;
mod state_change_log;
mod store;
mod stream_records;
mod stream_writer;

pub use client_protocol::ClientProtocol;
pub use lifecycle::{drain, run, start};
pub use listeners::Listeners;
pub use router::Router;
pub use router_error::RouterError;
pub use router_settings::RouterSettings;
pub use source_health::{SourceHealth, SourceTransition};
pub use store::{Announcements, Store, StoreError, StreamRecord};
