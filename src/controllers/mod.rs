//! Tasks and the actor that keep the view up to date, all on the control thread.

mod busy_peers;
mod dissemination;
mod exchange;
mod gossip;
mod gossip_merge;
mod handlers;
mod list_watch;
mod load_watch;
mod mark_watch;
mod marks;
mod messages;
mod order_dispatcher;
mod order_plan;
mod order_tail;
mod placement_engine;
mod publisher;
mod pull;
mod ticket_tail;
mod view_parts;
mod wanted;
mod wanted_items;

#[cfg(feature = "trial")]
pub(crate) use exchange::MAX_LOAD_ENTRIES;
pub use gossip::exchange_gossip;
pub use list_watch::{ListWatch, slot_delay};
pub use load_watch::watch_loads;
pub use mark_watch::watch_marks;
pub use messages::{
    BeginLeaving, ExchangeDone, Flush, IncomingExchange, ListRead, LoadReported, LoadTargets,
    MarksAdded, NextExchange, OutgoingExchange, RecordsRead, SnapshotRead, TailPlan, TailQuery,
    TicketRecord,
};
pub use order_dispatcher::{OrderDispatcher, OrderParts};
pub use order_plan::{OrderPlan, OrderQuery, PlannedOrder};
pub use order_tail::ORDER_STREAM;
pub use publisher::{Publisher, PublisherParts};
pub use ticket_tail::{SNAPSHOT_STREAM, TICKET_STREAM, TicketTail};
pub use wanted_items::wanted_items;
