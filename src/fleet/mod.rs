//! What a router knows of the fleet: tables that control keeps, and the immutable
//! view that it publishes for traffic.

mod budget;
mod crash_table;
mod instance_table;
mod leaving_marks;
mod load_table;
mod loaded_models;
mod members;
mod pool;
mod router;
mod view;
mod view_cell;

pub use budget::{Budget, Purpose};
pub use crash_table::{Crash, CrashReport, CrashTable, RunningSuspect};
pub use instance_table::InstanceTable;
pub use leaving_marks::{LeavingMark, LeavingMarks};
pub use load_table::LoadTable;
pub use loaded_models::{LoadedModels, ModelKeys};
pub use members::Members;
pub use pool::{BackendServer, Pool};
pub use router::Router;
pub use view::View;
pub use view_cell::ViewCell;
