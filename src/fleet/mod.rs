//! The immutable view of the fleet that control publishes and traffic reads.

mod crash_board;
mod pool;
mod router;
mod view;
mod view_cell;

pub use crash_board::{Crash, CrashBoard};
pub use pool::{BackendServer, Pool};
pub use router::Router;
pub use view::View;
pub use view_cell::ViewCell;
