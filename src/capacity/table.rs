//! Computes the capacity table of a fleet size from the slopes.

use std::fmt;

use crate::capacity::orders::order_figures;
use crate::capacity::role::Role;
use crate::capacity::{Sizes, Slopes};
use crate::controllers::MAX_LOAD_ENTRIES;
use crate::fleet::Purpose;
use crate::settings::{Limits, StateSync};

/// Maximum processor time for control, in percent of a core.
const MAX_CONTROL_PERCENT: f64 = 4.0;
/// Maximum memory for control, in MB.
const MAX_CONTROL_MB: f64 = 64.0;
/// Maximum control and probe traffic of a router, in bytes per second.
const MAX_CONTROL_BYTES: f64 = 4_096.0;
/// Appends per second that the platform's log accepts.
pub(super) const MAX_LOG_APPENDS: f64 = 300.0;
/// Events of a request that succeeds at the first attempt, its address request included.
const EVENTS_PER_REQUEST: f64 = 4.0;
/// Capacity of a router's event ring.
const RING_EVENTS: f64 = 16_384.0;
/// Maximum number of load entries in one message.
const MAX_LOADS: f64 = MAX_LOAD_ENTRIES as f64;
/// Number of routers that follow the log.
const LOG_FOLLOWERS: f64 = 3.0;
/// Seconds in a day.
const DAY_S: f64 = 86_400.0;

plain! {
    /// An upper limit of a figure.
    #[derive(Copy)]
    pub struct Target {
        /// The limit, in the unit of its figure.
        pub max: f64,
    }

    /// One figure of one role.
    pub struct Figure {
        /// Part of the system that it belongs to.
        pub role: Role,
        /// Description.
        pub what: &'static str,
        /// Value.
        pub value: f64,
        /// Unit.
        pub unit: &'static str,
        /// Upper limit, if there is one.
        pub target: Option<Target>,
        /// Names of the slopes that it is computed from.
        pub slopes: &'static str,
        /// Mechanism that causes or bounds it.
        pub mechanism: &'static str,
    }
}

impl Figure {
    /// Whether the value is within its target; `None` without a target.
    pub fn is_met(&self) -> Option<bool> {
        self.target.map(|it| self.value <= it.max)
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let target = self.target.map_or_else(String::new, |it| format_number(it.max));
        let met = match self.is_met() {
            Some(true) => "yes",
            Some(false) => "**no**",
            None => "",
        };
        write!(
            f,
            "| {} | {} | {} {} | {target} | {met} | {} | {} |",
            self.role,
            self.what,
            format_number(self.value),
            self.unit,
            self.slopes,
            self.mechanism
        )
    }
}

/// The header of the capacity table in Markdown.
pub(crate) fn table_header() -> String {
    let columns = "| Role | Figure | Value | Target | Met | Slopes | Mechanism |";
    format!("{columns}\n{}|", "| --- ".repeat(7))
}

/// A number with about three significant digits.
pub(crate) fn format_number(value: f64) -> String {
    match value.abs() {
        it if it >= 100.0 => format!("{value:.0}"),
        it if it >= 10.0 => format!("{value:.1}"),
        it if it >= 1.0 => format!("{value:.2}"),
        0.0 => "0".to_owned(),
        _ => format!("{value:.4}"),
    }
}

/// All figures at `sizes`, for routers that synchronise their state by `state_sync`.
pub fn figures(slopes: &Slopes, sizes: &Sizes, state_sync: &StateSync) -> Vec<Figure> {
    let mut all = control_memory(slopes, sizes);
    all.extend(control_time(slopes, sizes, state_sync));
    all.extend(control_bytes(slopes, sizes, state_sync));
    all.extend(traffic(slopes, sizes));
    all.extend(traffic_memory(slopes, sizes));
    all.extend(log(slopes, sizes, state_sync));
    all.extend(order_figures(slopes, sizes));
    all.extend(operator(slopes, sizes));
    all
}

pub(super) fn figure(
    role: Role,
    what: &'static str,
    (value, unit): (f64, &'static str),
    slopes: &'static str,
    mechanism: &'static str,
) -> Figure {
    Figure { role, what, value, unit, target: None, slopes, mechanism }
}

/// Returns a constructor for figures of one role.
fn row_of(
    role: Role,
) -> impl Fn(&'static str, f64, &'static str, &'static str, &'static str) -> Figure {
    move |what, value, unit, slopes, mechanism| figure(role, what, (value, unit), slopes, mechanism)
}

pub(super) fn with_target(figure: Figure, max: f64) -> Figure {
    Figure { target: Some(Target { max }), ..figure }
}

fn control_memory(slopes: &Slopes, sizes: &Sizes) -> Vec<Figure> {
    let mega = |bytes: f64| bytes / 1e6;
    let objects = mega(slopes.bytes("state_objects", sizes.objects()));
    let tickets = mega(slopes.bytes("fold_tickets", sizes.tickets * sizes.days));
    let engines = mega(slopes.bytes("publish_engines", sizes.workers));
    let routers = mega(slopes.bytes("publish_routers", sizes.routers));
    let events = mega(slopes.bytes("ring_events", RING_EVENTS));
    let chats = mega(slopes.bytes("chat_table", sizes.chats / sizes.routers));
    let total = objects + tickets + engines + routers + events + chats;
    let row = |what, value, slopes, mechanism| {
        figure(Role::Control, what, (value, "MB"), slopes, mechanism)
    };
    vec![
        row("state: objects in force", objects, "state_objects", "fold of the ticket stream"),
        row(
            "state: tickets of the retention time",
            tickets,
            "fold_tickets",
            "fold, bounded memory",
        ),
        row("backend servers", engines, "publish_engines", "instance table, loads, view"),
        row("routers", routers, "publish_routers", "instance table, members, view"),
        row("events", events, "ring_events", "bounded ring"),
        row("chats of one router", chats, "chat_table", "table of the last placements"),
        with_target(row("memory, sum", total, "all above", "as above"), MAX_CONTROL_MB),
    ]
}

/// Rates of control work on one router within its control budget.
struct ControlRates {
    /// Bytes of one gossip exchange, both directions.
    exchange: f64,
    /// Exchanges per second that the budget allows.
    exchanges: f64,
    /// Backend servers that one router polls.
    polled: f64,
    /// Seconds between two polls of one of them.
    load_interval: f64,
    /// Seconds between two reads of the instance list.
    list_interval: f64,
}

fn control_rates(slopes: &Slopes, sizes: &Sizes, state_sync: &StateSync) -> ControlRates {
    let call = slopes.wire_per_unit("poll_engines");
    let exchange = 2.0 * slopes.wire("message_loads", MAX_LOADS) + call;
    let polled = (sizes.workers / sizes.routers).max(1.0);
    let list = slopes.wire("list_instances", sizes.instances());
    let budget = |purpose: Purpose| MAX_CONTROL_BYTES * purpose.share();
    ControlRates {
        exchange,
        exchanges: budget(Purpose::Gossip) / exchange,
        polled,
        load_interval: state_sync
            .load_every
            .as_secs_f64()
            .max(polled * call / budget(Purpose::Load)),
        list_interval: (state_sync.list_every.as_secs_f64() * sizes.routers)
            .max(list / budget(Purpose::List)),
    }
}

fn control_time(slopes: &Slopes, sizes: &Sizes, state_sync: &StateSync) -> Vec<Figure> {
    let rates = control_rates(slopes, sizes, state_sync);
    let once = slopes.micros("publish_engines", sizes.workers)
        + slopes.micros_growth("publish_routers", sizes.routers)
        + slopes.micros_growth("publish_objects", sizes.objects()).max(0.0);
    let publications = 2.0 * rates.exchanges + rates.polled / rates.load_interval;
    let publish = publications * once / 1e4;
    let round = 2.0 * rates.exchanges * slopes.micros("round_routers", sizes.routers) / 1e4;
    let targets = slopes.micros("targets_engines", sizes.workers) / rates.load_interval / 1e4;
    let poll = rates.polled / rates.load_interval * slopes.micros_growth("poll_engines", 1.0) / 1e4;
    let fold = sizes.tickets / DAY_S * slopes.micros_growth("fold_tickets", 1.0) / 1e4;
    let list = slopes.micros("list_instances", sizes.instances()) / rates.list_interval / 1e4;
    let receive = slopes.micros("receive_engines", sizes.workers)
        - slopes.micros("publish_engines", sizes.workers);
    let receive_share = 2.0 * rates.exchanges * receive.max(0.0) / 1e4;
    let total = publish + round + receive_share + targets + poll + list + fold;
    let age = sizes.workers / (2.0 * rates.exchanges * MAX_LOADS);
    let row = |what, value, slopes, mechanism| {
        figure(Role::Control, what, (value, "% of a core"), slopes, mechanism)
    };
    let count = row_of(Role::Control);
    vec![
        count(
            "messages: exchanges started, max",
            rates.exchanges,
            "a second",
            "message_loads",
            "gossip, its share of the budget",
        ),
        count("age of a load, min", age, "s", "message_loads", "gossip, 8 entries per message"),
        row("time: publishing", publish, "publish_*", "view rebuilt after each exchange"),
        row("time: composing exchanges", round, "round_routers", "gossip"),
        row(
            "time: handling received exchanges",
            receive_share,
            "receive_engines less publish_engines",
            "gossip",
        ),
        row("time: choosing engines to poll", targets, "targets_engines", "rank of routers"),
        row("time: polling loads", poll, "poll_engines (both ends)", "HTTP"),
        row("time: instance list", list, "list_instances (both ends)", "HTTP"),
        row("time: folding tickets", fold, "fold_tickets", "fold"),
        with_target(row("time, sum", total, "all above", "as above"), MAX_CONTROL_PERCENT),
    ]
}

fn control_bytes(slopes: &Slopes, sizes: &Sizes, state_sync: &StateSync) -> Vec<Figure> {
    let rates = control_rates(slopes, sizes, state_sync);
    let call = slopes.wire_per_unit("poll_engines");
    let gossip = 2.0 * rates.exchange / state_sync.gossip_every.as_secs_f64();
    let loads = rates.polled * call / state_sync.load_every.as_secs_f64();
    let list_interval = state_sync.list_every.as_secs_f64() * sizes.routers;
    let list = slopes.wire("list_instances", sizes.instances()) / list_interval;
    let tail = call / state_sync.log_wait.as_secs_f64()
        + slopes.wire_per_unit("log_tickets") * sizes.tickets / DAY_S;
    let row = row_of(Role::Bytes);
    let total = gossip + loads + list + tail;
    vec![
        row(
            "unthrottled: exchanges",
            gossip,
            "B/s",
            "message_loads",
            "one started and one received per interval",
        ),
        row("unthrottled: loads", loads, "B/s", "poll_engines", "each engine polled by one router"),
        row(
            "unthrottled: instance list",
            list,
            "B/s",
            "list_instances",
            "full list, routers in rotation",
        ),
        row("unthrottled: ticket stream", tail, "B/s", "log_tickets", "3 routers follow the log"),
        with_target(
            row(
                "unthrottled, sum; the budget lengthens the intervals",
                total,
                "B/s",
                "above",
                "budget",
            ),
            MAX_CONTROL_BYTES,
        ),
        row(
            "interval between load polls, lengthened",
            rates.load_interval,
            "s",
            "poll_engines",
            "share of the budget",
        ),
        row(
            "interval between list reads, lengthened",
            rates.list_interval,
            "s",
            "list_instances",
            "rotation; share of the budget",
        ),
    ]
}

fn traffic_memory(slopes: &Slopes, sizes: &Sizes) -> Vec<Figure> {
    let streams = sizes.streams() / sizes.routers;
    let each =
        slopes.bytes_growth("open_streams", 1.0) - slopes.bytes_growth("engine_streams", 1.0);
    let limit = Limits::default().connections as f64;
    let connections = slopes.bytes_growth("open_connections", limit) / 1e6;
    let row = row_of(Role::Traffic);
    vec![
        row("streams open", streams, "at once", "exact", "connections"),
        row(
            "memory: open streams",
            streams * each / 1e6,
            "MB",
            "open_streams less engine_streams",
            "one connection each way",
        ),
        row(
            "memory: connections, all that are allowed",
            connections,
            "MB",
            "open_connections",
            "`limits.connections`",
        ),
    ]
}

fn traffic(slopes: &Slopes, sizes: &Sizes) -> Vec<Figure> {
    let requests = sizes.requests / sizes.routers;
    let place = requests * slopes.micros("place_engines", sizes.workers / sizes.models) / 1e4;
    let entry = requests * slopes.micros("entry_routers", sizes.routers) / 1e4;
    let events = requests * EVENTS_PER_REQUEST;
    let record = events * slopes.micros_growth("ring_events", 1.0) / 1e4;
    let span = RING_EVENTS / events;
    let tokens = sizes.tokens / sizes.routers;
    let relay = slopes.micros_growth("relay_tokens", tokens) / 1e4;
    let row = row_of(Role::Traffic);
    vec![
        row("messages: requests", requests, "a second", "exact", "rendezvous of callers"),
        row("messages: tokens relayed", tokens, "a second", "exact", "streams"),
        row("time: placement", place, "% of a core", "place_engines", "rank within one pool"),
        row("time: address responses", entry, "% of a core", "entry_routers", "rank"),
        row("time: tokens relayed", relay, "% of a core", "relay_tokens", "streams"),
        row("time: events", record, "% of a core", "ring_events", "bounded ring"),
        row("events: time covered", span, "s", "exact", "bounded ring"),
    ]
}

fn log(slopes: &Slopes, sizes: &Sizes, state_sync: &StateSync) -> Vec<Figure> {
    let ticket = slopes.wire_per_unit("log_tickets");
    let reads = LOG_FOLLOWERS * (1.0 / state_sync.log_wait.as_secs_f64() + sizes.tickets / DAY_S);
    let row = row_of(Role::Log);
    vec![
        with_target(
            row("appends of tickets", sizes.tickets / DAY_S, "a second", "exact", "operators only"),
            MAX_LOG_APPENDS,
        ),
        row("reads", reads, "a second", "exact", "3 routers follow the stream"),
        row(
            "retained tickets",
            ticket * sizes.tickets * sizes.days / 1e6,
            "MB",
            "log_tickets",
            "retention of the platform",
        ),
    ]
}

fn operator(slopes: &Slopes, sizes: &Sizes) -> Vec<Figure> {
    let state = slopes.wire("snapshot_objects", sizes.objects()) / 1e6;
    let row = row_of(Role::Operator);
    vec![
        row("state of one router", state, "MB", "snapshot_objects", "one response"),
        row(
            "reading back from all routers",
            state * sizes.routers,
            "MB",
            "snapshot_objects",
            "one call per router",
        ),
    ]
}
