//! The backend servers that requests are relayed to: their records, load,
//! reachability and results.

mod backoff;
mod change;
mod effect;
mod leaving_statements;
mod list_cursor;
mod record;
mod result_window;
mod server;
mod server_limit;
mod software_history;
mod software_version;
mod stated_condition;
mod table;
mod table_changes;
mod table_id;

pub use backoff::Backoff;
pub use change::{Change, Page, Position, StoreEra};
pub use effect::Effect;
pub use list_cursor::{ListCursor, TableRevision};
pub use record::{ServerRecord, ServerState};
pub use server::{InFlight, Server};
pub use server_limit::{LimitChange, LimitStatement};
pub use software_history::{SeenSoftware, ServiceSoftware};
pub use software_version::SoftwareVersion;
pub use stated_condition::StatedCondition;
pub use table::ServerTable;
pub use table_changes::TableChanges;
