//! Parts of a time line.

use std::collections::BTreeSet;

use crate::events::{Code, Event};
use crate::filters::FIRST_ID_KEY;
use crate::timeline::Timeline;

/// Events that begin and end an outage of the platform: they explain refusals of
/// any request.
const PLATFORM: [(Code, Code); 3] = [
    (Code::LogUnreachable, Code::LogReachable),
    (Code::ListUnreachable, Code::ListReachable),
    (Code::AppendFailed, Code::AppendTaken),
];

plain! {
    /// What to show of a time line.
    pub enum Selection {
        /// Everything.
        All,
        /// The story of one request, by its id.
        Request(String),
        /// What became of one ticket, by its number.
        Ticket(u64),
        /// All requests of one chat, by its key.
        Chat(u64),
        /// Everything about one backend server, by its name.
        Engine(String),
    }
}

impl Selection {
    /// The selected part; processes and what is missing stay.
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

/// Id of the request that another router sent on as the one that arrived.
pub(crate) fn first_id(event: &Event) -> Option<&str> {
    // The name of the organisation is the caller's own text and comes last.
    let (told, _) = event.detail.split_once(" organisation=")?;
    let arrived = is(event, Code::RequestReceived);
    told.split(' ')
        .find_map(|it| it.strip_prefix(FIRST_ID_KEY)?.strip_prefix('='))
        .filter(|_| arrived)
}

fn is(event: &Event, code: Code) -> bool {
    event.code == code.number()
}

/// The events of a request, at a router that it was sent on to as well, the
/// answer about addresses that led to it, and what its routers and backend
/// servers met meanwhile.
fn request(events: &[Event], id: &str) -> Vec<Event> {
    let links = events.iter().filter_map(|it| Some((first_id(it)?, it.subject.as_str())));
    let linked = links.filter(|(first, sent)| *first == id || *sent == id);
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
    let platform = platform_state(&events[..first], &routers);
    let related = |i: usize, it: &Event| {
        let meanwhile = (first..=last).contains(&i) && routers.contains(it.instance.as_str());
        own(&it)
            || Some(i) == entry
            || platform.contains(&i)
            || (meanwhile && (is_platform(it) || servers.contains(it.subject.as_str())))
    };
    let kept = events.iter().enumerate().filter(|(i, it)| related(*i, it));
    kept.map(|it| it.1.clone()).collect()
}

fn is_platform(event: &Event) -> bool {
    PLATFORM.iter().any(|(out, back)| is(event, *out) || is(event, *back))
}

/// Positions of the outages that hold at the end of `events` at `routers`.
fn platform_state(events: &[Event], routers: &BTreeSet<&str>) -> BTreeSet<usize> {
    let mut open = BTreeSet::new();
    for router in routers {
        for (out, back) in PLATFORM {
            let mine = |it: &Event| it.instance == *router && (is(it, out) || is(it, back));
            let last = events.iter().rposition(mine);
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
    let apart = |it: char| !it.is_alphanumeric() && it != '-' && it != '_' && it != '.';
    let about = |it: &&Event| it.subject == name || it.detail.split(apart).any(|it| it == name);
    events.iter().filter(about).cloned().collect()
}
