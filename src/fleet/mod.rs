//! The immutable view of the fleet that control publishes and traffic reads.

mod pool;
mod router;
mod view;
mod view_cell;

pub use pool::{BackendServer, Pool};
pub use router::Router;
pub use view::View;
pub use view_cell::ViewCell;
