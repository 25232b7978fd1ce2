//! Controllers: they keep the view up to date, all on the control thread.

mod engine_side;
mod list_watch;
mod load_watch;
mod publisher;
mod ticket_tail;

pub use list_watch::watch_list;
pub use load_watch::watch_loads;
pub use publisher::{Folded, Leave, Listed, Publisher, Reported, Targets};
pub use ticket_tail::{TICKET_STREAM, tail_tickets};
