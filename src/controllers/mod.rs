//! Controllers: they keep the view up to date, all on the control thread.

mod engine_side;
mod forest;
mod gossip;
mod held_items;
mod intake;
mod list_watch;
mod load_watch;
mod mark_watch;
mod marks;
mod messages;
mod order_plan;
mod order_tail;
mod orders;
mod publisher;
mod pull;
mod retry;
mod round;
mod ticket_tail;
mod view_parts;
mod wanted;

pub use gossip::exchange_gossip;
pub use held_items::held_items;
pub use list_watch::{ListWatch, turn_delay};
pub use load_watch::watch_loads;
pub use mark_watch::watch_marks;
pub use messages::{
    Answered, Exchange, Flush, Folded, Leave, Listed, Marked, NextRound, Reported, Restored, Round,
    TailPlan, TailQuery, Targets, TicketRecord,
};
pub use order_plan::{OrderPlan, OrderQuery, Planned};
pub use order_tail::ORDER_STREAM;
pub use orders::{OrderGiver, OrderParts};
pub use publisher::{Parts, Publisher};
#[cfg(feature = "trial")]
pub(crate) use round::LOADS;
pub use ticket_tail::{SNAPSHOT_STREAM, TICKET_STREAM, Tail};
