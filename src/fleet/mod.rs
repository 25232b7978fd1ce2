//! The immutable view of the fleet that control publishes and traffic reads.

mod budget;
mod crash_board;
mod hold_table;
mod load_table;
mod mark_board;
mod members;
mod pool;
mod roster;
mod router;
mod view;
mod view_cell;

pub use budget::{Budget, Purpose};
pub use crash_board::{Crash, CrashBoard, CrashReport, RunningSuspect};
pub use hold_table::{HoldTable, Keys};
pub use load_table::LoadTable;
pub use mark_board::{Mark, MarkBoard};
pub use members::Members;
pub use pool::{BackendServer, Pool};
pub use roster::Roster;
pub use router::Router;
pub use view::View;
pub use view_cell::ViewCell;
