//! Selects the part of a time line that concerns one request, ticket, chat or backend
//! server.

use std::collections::BTreeSet;

use crate::events::{Code, Event};
use crate::filters::FIRST_ID_KEY;
use crate::timeline::Timeline;

/// Events that begin and end an outage of a platform service. Such an outage can
/// explain the refusal of any request.
const OUTAGES: [(Code, Code); 3] = [
    (Code::LogUnreachable, Code::LogReachable),
    (Code::ListUnreachable, Code::ListReachable),
    (Code::AppendFailed, Code::AppendTaken),
];

plain! {
    /// Which events of a time line to show.
    pub enum Selection {
        /// Everything.
        All,
        /// The events that concern one request, by its id.
        Request(String),
        /// The events of one ticket, by its number.
        Ticket(u64),
        /// All requests of one chat, by its key.
        Chat(u64),
        /// The events that concern one backend server, by its name.
        Engine(String),
    }
}

impl Selection {
    /// The selected events, with all processes and their gaps.
    pub fn apply(&self, all: &Timeline) -> Timeline {
        let events = match self {
            Selection::All => all.events.clone(),
            Selection::Request(id) => request(&all.events, id),
            Selection::Ticket(number) => ticket(&all.events, *number),
            Selection::Chat(key) => chat(&all.events, *key),
            Selection::Engine(name) => engine(&all.events, name),
        };
        Timeline { events, processes: all.processes.clone() }
    }
}

/// The value of `name=` in the detail of an event.
pub(crate) fn value<'a>(event: &'a Event, name: &str) -> Option<&'a str> {
    let mut words = event.detail.split(' ');
    words.find_map(|it| it.strip_prefix(name)?.strip_prefix('='))
}

/// Id that a forwarded request had at the router that forwarded it; `event` is its
/// arrival at this router.
pub(crate) fn first_id(event: &Event) -> Option<&str> {
    // The organisation comes last because its name is set by the caller: what follows
    // `organisation=` must not be read as keys.
    let (keys, _) = event.detail.split_once(" organisation=")?;
    let arrived = is(event, Code::RequestReceived);
    keys.split(' ')
        .find_map(|it| it.strip_prefix(FIRST_ID_KEY)?.strip_prefix('='))
        .filter(|_| arrived)
}

fn is(event: &Event, code: Code) -> bool {
    event.code == code.number()
}

/// The events of a request at all routers that handled it, the response that gave the
/// caller the routers' addresses, and the outages and server events that its routers
/// recorded while it ran.
fn request(events: &[Event], id: &str) -> Vec<Event> {
    let forwards = events.iter().filter_map(|it| Some((first_id(it)?, it.subject.as_str())));
    let linked = forwards.filter(|(first, forwarded)| *first == id || *forwarded == id);
    let ids: BTreeSet<&str> = linked.flat_map(|it| [it.0, it.1]).chain([id]).collect();
    let own = |it: &&Event| ids.contains(it.subject.as_str());
    let Some(first) = events.iter().position(|it| own(&it)) else {
        return Vec::new();
    };
    let last = events.iter().rposition(|it| own(&it)).unwrap_or(first);
    let servers: BTreeSet<&str> = events
        .iter()
        .filter(own)
        .filter(|it| is(it, Code::Placed))
        .filter_map(|it| it.detail.split(' ').next())
        .collect();
    let routers: BTreeSet<&str> =
        events.iter().filter(own).map(|it| it.instance.as_str()).collect();
    let chat = events.iter().filter(own).find_map(|it| value(it, "chat"));
    let entry = events[..first]
        .iter()
        .rposition(|it| is(it, Code::EntryAnswered) && chat.is_some() && value(it, "chat") == chat);
    let outages = open_outages(&events[..first], &routers);
    let related = |i: usize, it: &Event| {
        let meanwhile = (first..=last).contains(&i) && routers.contains(it.instance.as_str());
        own(&it)
            || Some(i) == entry
            || outages.contains(&i)
            || (meanwhile && (is_outage(it) || servers.contains(it.subject.as_str())))
    };
    let selected = events.iter().enumerate().filter(|(i, it)| related(*i, it));
    selected.map(|it| it.1.clone()).collect()
}

fn is_outage(event: &Event) -> bool {
    OUTAGES.iter().any(|(out, back)| is(event, *out) || is(event, *back))
}

/// Positions of the outage events whose outage still lasts at the end of `events` at
/// one of `routers`.
fn open_outages(events: &[Event], routers: &BTreeSet<&str>) -> BTreeSet<usize> {
    let mut open = BTreeSet::new();
    for router in routers {
        for (out, back) in OUTAGES {
            let own = |it: &Event| it.instance == *router && (is(it, out) || is(it, back));
            let last = events.iter().rposition(own);
            open.extend(last.filter(|&i| is(&events[i], out)));
        }
    }
    open
}

fn ticket(events: &[Event], number: u64) -> Vec<Event> {
    let number = number.to_string();
    let about = |it: &&Event| (200..300).contains(&it.code) && it.subject == number;
    events.iter().filter(about).cloned().collect()
}

fn chat(events: &[Event], key: u64) -> Vec<Event> {
    let key = format!("{key:016x}");
    let named = events.iter().filter(|it| value(it, "chat") == Some(&key));
    let ids: BTreeSet<&str> = named.map(|it| it.subject.as_str()).collect();
    events.iter().filter(|it| ids.contains(it.subject.as_str())).cloned().collect()
}

fn engine(events: &[Event], name: &str) -> Vec<Event> {
    let is_separator = |it: char| !it.is_alphanumeric() && it != '-' && it != '_' && it != '.';
    let about =
        |it: &&Event| it.subject == name || it.detail.split(is_separator).any(|it| it == name);
    events.iter().filter(about).cloned().collect()
}
