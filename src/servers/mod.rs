//! The backend servers that requests are relayed to: their records, load,
//! reachability and results.

mod backoff;
mod change;
mod cold_limit;
mod effect;
mod leaving_statements;
mod limit_share;
mod list_cursor;
mod record;
mod registered_software;
mod restoration;
mod result_window;
mod room_waiters;
mod server;
mod server_limit;
mod software_history;
mod software_version;
mod stated_condition;
mod table;
mod table_changes;
mod table_entry;
mod table_evacuation;
mod table_id;
mod table_software;

pub use backoff::Backoff;
pub use change::{Change, Page, Position, StoreEra};
pub use cold_limit::ColdTerms;
pub use effect::Effect;
pub use list_cursor::{ListCursor, TableRevision};
pub use record::{ServerRecord, ServerState};
pub(crate) use registered_software::RegisteredSoftware;
pub use registered_software::{DueRegistration, Registration, RouterProcess};
pub use room_waiters::{RoomSignal, RoomWaiters, WaitingPlace};
pub use server::{InFlight, Server};
pub use server_limit::{LimitChange, LimitStatement};
pub(crate) use software_history::HISTORY_TIME;
pub use software_history::{SeenSoftware, ServiceSoftware};
pub use software_version::SoftwareVersion;
pub use stated_condition::StatedCondition;
pub use table::ServerTable;
pub use table_changes::TableChanges;
