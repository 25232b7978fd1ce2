//! The bounded store of recent events.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::UNIX_EPOCH;

use slog::{Logger, info};

use crate::clock::SharedClock;
use crate::events::{Code, Event};

/// Events kept at most.
const CAPACITY: usize = 8_192;

/// What an event is about.
#[derive(Debug, Clone, Copy, Default)]
pub struct Fields<'a> {
    /// Request, ticket or instance.
    pub subject: &'a str,
    /// Details.
    pub detail: &'a str,
}

/// Recent events of this process.
#[derive(Debug)]
pub struct EventLog {
    instance: String,
    clock: SharedClock,
    logger: Logger,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    events: VecDeque<Event>,
}

impl EventLog {
    /// An empty store for `instance` that also writes to `logger`.
    pub fn new(instance: &str, clock: SharedClock, logger: Logger) -> EventLog {
        EventLog { instance: instance.to_owned(), clock, logger, state: Mutex::default() }
    }

    /// Records an event.
    pub fn record(&self, code: Code, fields: Fields<'_>) {
        let wall = self.clock.wall().duration_since(UNIX_EPOCH);
        let event = Event {
            seq: 0,
            at_us: wall.map_or(0, |it| it.as_micros() as u64),
            code: code.number(),
            name: code.name().to_owned(),
            instance: self.instance.clone(),
            subject: fields.subject.to_owned(),
            detail: fields.detail.to_owned(),
        };
        info!(self.logger, "{}", code.text(); "event" => event.code, "name" => &event.name,
            "subject" => &event.subject, "detail" => &event.detail);
        let mut state = self.state.lock().unwrap();
        let seq = state.next;
        state.next += 1;
        if state.events.len() == CAPACITY {
            state.events.pop_front();
        }
        state.events.push_back(Event { seq, ..event });
    }

    /// Events from sequence number `from` on, oldest first.
    pub fn since(&self, from: u64) -> Vec<Event> {
        let state = self.state.lock().unwrap();
        state.events.iter().filter(|it| it.seq >= from).cloned().collect()
    }
}
